package cassiaspindle.history.control

import cassiaspindle.replication.LogWrite
import cassiaspindle.replication.PersistentGroupState
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.LogRecord
import cassiaspindle.storage.GroupReplay

/** The log of a simulated replica: durable records, and unsynced work that a crash loses. */
internal class SimulatedDisk(private val initialMembership: GroupMembership, private val faults: ControlFaults) {
    private val durable = mutableListOf<LogRecord>()
    private val unsynced = ArrayDeque<UnsyncedWork>()

    /** Queues work in the order of decision. */
    fun add(group: Int, work: LogWrite) {
        unsynced.addLast(UnsyncedWork(group, work))
    }

    /** Makes the oldest [count] work items durable and returns them. */
    fun sync(count: Int): List<UnsyncedWork> {
        val synced = List(minOf(count, unsynced.size)) { unsynced.removeFirst() }
        synced.filter { faults.isDurableAfterSync() }.forEach { durable += it.work.records }
        return synced
    }

    /** Discards the work that is not durable. */
    fun crash() = unsynced.clear()

    /** Returns the group states that a replica recovers after a restart. */
    fun recoverGroups(groups: Int): List<PersistentGroupState> {
        val replay = GroupReplay(initialMembership)
        durable.forEach(replay::add)
        return (0 until groups).map { group ->
            val replayed = replay.result(group)
            PersistentGroupState(faults.recoveredHardState(replayed.hardState), replayed.snapshot, replayed.entries)
        }
    }
}

/** Work of one group that is not yet synced. */
internal data class UnsyncedWork(val group: Int, val work: LogWrite)
