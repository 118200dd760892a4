package cassiaspindle.history.control

import cassiaspindle.replication.LogWrite
import cassiaspindle.replication.PersistentGroupState
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.LogRecord
import cassiaspindle.storage.GroupReplay

/** The log of a simulated replica: durable records, and unsynced writes that a crash loses. */
internal class SimulatedDisk(private val initialMembership: GroupMembership, private val faults: ControlFaults) {
    private val durable = mutableListOf<LogRecord>()
    private val unsynced = ArrayDeque<UnsyncedWrite>()

    /** Queues a write in the order of decision. */
    fun add(group: Int, write: LogWrite) {
        unsynced.addLast(UnsyncedWrite(group, write))
    }

    /** Makes the oldest [count] writes durable and returns them. */
    fun sync(count: Int): List<UnsyncedWrite> {
        val synced = List(minOf(count, unsynced.size)) { unsynced.removeFirst() }
        synced.filter { faults.isDurableAfterSync() }.forEach { durable += it.write.records }
        return synced
    }

    /** Discards the writes that are not durable. */
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

/** A write of one group that is not yet synced. */
internal data class UnsyncedWrite(val group: Int, val write: LogWrite)
