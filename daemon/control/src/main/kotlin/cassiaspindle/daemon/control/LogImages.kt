package cassiaspindle.daemon.control

import cassiaspindle.replication.PersistentGroupState
import cassiaspindle.schema.GroupMembership
import cassiaspindle.storage.GroupReplay
import cassiaspindle.storage.OpenedLog

/** What the log holds of each of [groups] groups that began with [beginning], in order. */
fun OpenedLog.replayGroups(beginning: GroupMembership, groups: Int): List<PersistentGroupState> {
    val replay = GroupReplay(beginning)
    records.forEach(replay::add)
    return (0 until groups).map { group ->
        val replayed = replay.result(group)
        PersistentGroupState(replayed.hardState, replayed.snapshot, replayed.entries)
    }
}
