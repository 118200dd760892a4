package cassiaspindle.history.control

import cassiaspindle.replication.DurableWork
import cassiaspindle.replication.GroupImage
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.LogRecord
import cassiaspindle.storage.GroupReplay

/** The log of a simulated replica: what is durable, and what a crash loses. */
internal class SimulatedDisk(private val beginning: GroupMembership, private val faults: HistoryFaults) {
    private val durable = mutableListOf<LogRecord>()
    private val waiting = ArrayDeque<WaitingWork>()

    /** Queues work in the order of decision. */
    fun add(group: Int, work: DurableWork) {
        waiting.addLast(WaitingWork(group, work))
    }

    /** Makes the oldest [count] pieces of work durable and returns them. */
    fun sync(count: Int): List<WaitingWork> {
        val synced = List(minOf(count, waiting.size)) { waiting.removeFirst() }
        synced.filter { faults.syncReaches() }.forEach { durable += it.work.records }
        return synced
    }

    /** Loses what is not durable. */
    fun crash() = waiting.clear()

    /** What the replica finds after a restart. */
    fun images(groups: Int): List<GroupImage> {
        val replay = GroupReplay(beginning)
        durable.forEach(replay::add)
        return (0 until groups).map { group ->
            val replayed = replay.result(group)
            GroupImage(faults.recoveredVote(replayed.hardState), replayed.snapshot, replayed.entries)
        }
    }
}

/** Work of one group that waits for a sync. */
internal data class WaitingWork(val group: Int, val work: DurableWork)
