package cassiaspindle.history.control

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.control.group.ControlReplica
import cassiaspindle.control.group.ControlReplicaSettings
import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica
import kotlin.random.Random

private const val PER_MILLE = 1_000L

/** Settings that all replicas of a simulation share. */
internal object SimulationSettings {
    const val ELECTION_TIMEOUT_MILLISECONDS = 60L
    const val ENTRY_LEASE_MILLISECONDS = 100L
    const val RETENTION_MILLISECONDS = 1_000_000L
    const val SNAPSHOT_EVERY_ENTRIES = 12
    const val GROUPS = 2
}

/** A control replica with its own disk and a clock with its own rate. */
internal class SimulatedReplica(
    val name: String,
    private val replicaNames: List<String>,
    private val random: Random,
    private val faults: ControlFaults,
    private val settings: (ControlReplicaSettings) -> ControlReplicaSettings = { it },
) {
    private val offsetMilliseconds = random.nextLong(MAXIMUM_CLOCK_OFFSET_MILLISECONDS)
    private val ratePerMille = PER_MILLE + random.nextInt(-faults.driftPerMille, faults.driftPerMille + 1)
    private var diskGeneration = 0
    private var disk = SimulatedDisk(GroupMembership(replicaNames.map { Replica(it, "0") }), faults)

    /** The running replica, or null while it is down. */
    var controlReplica: ControlReplica? = null
        private set

    /** The identity of its data folder. */
    val identity: Replica get() = Replica(name, diskGeneration.toString())

    /** Returns the time of the replica's clock at [trueMilliseconds]. */
    fun now(trueMilliseconds: Long): Long = offsetMilliseconds + trueMilliseconds * ratePerMille / PER_MILLE

    fun start(trueMilliseconds: Long) {
        val defaultSettings = ControlReplicaSettings(
            self = identity,
            names = { replicaNames },
            electionTimeoutMilliseconds = SimulationSettings.ELECTION_TIMEOUT_MILLISECONDS,
            entryLeaseMilliseconds = SimulationSettings.ENTRY_LEASE_MILLISECONDS,
            orderRetentionMilliseconds = SimulationSettings.RETENTION_MILLISECONDS,
            snapshotEveryEntries = SimulationSettings.SNAPSHOT_EVERY_ENTRIES,
            toleratedLosses = (replicaNames.size - 1) / 2,
        )
        val changedSettings = settings(defaultSettings)
        val groupStates = disk.recoverGroups(SimulationSettings.GROUPS)
        val startMilliseconds = faults.startTime(now(trueMilliseconds))
        val randomSource: RandomSource = { random.nextInt(it) }
        controlReplica = ControlReplica(changedSettings, groupStates, randomSource, startMilliseconds, disk::add)
    }

    fun crash() {
        controlReplica = null
        disk.crash()
    }

    /** Replaces the disk with an empty one; the replica returns under a new identity and without a vote. */
    fun replaceDisk() {
        crash()
        val initialMembership = if (faults.keepsIdentity()) {
            GroupMembership(replicaNames.map { Replica(it, "0") })
        } else {
            diskGeneration++
            GroupMembership(emptyList())
        }
        disk = SimulatedDisk(initialMembership, faults)
    }

    /** Syncs at most [count] writes and returns the resulting effects. */
    fun sync(count: Int, trueMilliseconds: Long): List<ControlEffect> {
        val running = controlReplica ?: return emptyList()
        return disk.sync(count).flatMap { (group, write) ->
            write.messages.map(ControlEffect::Send) + running.persisted(group, write.syncPoint, now(trueMilliseconds))
        }
    }

    private companion object {
        const val MAXIMUM_CLOCK_OFFSET_MILLISECONDS = 100_000L
    }
}
