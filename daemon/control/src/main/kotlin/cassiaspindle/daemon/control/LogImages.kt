package cassiaspindle.daemon.control

import cassiaspindle.replication.GroupImage
import cassiaspindle.schema.GroupMembership
import cassiaspindle.storage.GroupReplay
import cassiaspindle.storage.OpenedLog

/** What the log holds of each of [groups] groups that began with [beginning], in order. */
fun OpenedLog.images(beginning: GroupMembership, groups: Int): List<GroupImage> {
    val replay = GroupReplay(beginning)
    records.forEach(replay::add)
    return (0 until groups).map { group ->
        val replayed = replay.result(group)
        GroupImage(replayed.hardState, replayed.snapshot, replayed.entries)
    }
}
