package cassiaspindle.daemon.control

import cassiaspindle.replication.PersistentGroupState
import cassiaspindle.schema.GroupMembership
import cassiaspindle.storage.GroupReplay
import cassiaspindle.storage.OpenedLog

/** Replays the log into the persistent state of each of [groups] groups, which started with [initialMembership]. */
fun OpenedLog.replayGroups(initialMembership: GroupMembership, groups: Int): List<PersistentGroupState> {
    val replay = GroupReplay(initialMembership)
    records.forEach(replay::add)
    return (0 until groups).map { group ->
        val replayed = replay.result(group)
        PersistentGroupState(replayed.hardState, replayed.snapshot, replayed.entries)
    }
}
