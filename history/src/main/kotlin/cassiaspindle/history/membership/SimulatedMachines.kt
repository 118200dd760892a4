package cassiaspindle.history.membership

import cassiaspindle.control.group.ControlReplica
import cassiaspindle.history.control.ControlFaults
import cassiaspindle.history.control.SimulatedReplica
import kotlin.random.Random

private const val ELECTION_TIMEOUT_MILLISECONDS = 900L
private const val VOTER_LOSS_TIMEOUT_MILLISECONDS = 1_500L
private const val MAXIMUM_VOTERS = 5
private const val SNAPSHOT_EVERY_ENTRIES = 16

/** The machines of a simulated core, each with its replica. */
internal class SimulatedMachines(
    private val random: Random,
    private val toleratedLosses: Int,
    private val faults: MembershipFaults,
) {
    private val machines = mutableListOf<SimulatedReplica>()
    private val initialNames = List(2 * toleratedLosses + 1) { "control-$it" }

    /** The machines that are not removed for good, in the order in which they were added. */
    val all: List<SimulatedReplica> get() = machines.toList()

    /** Starts the first machines, which found the system. */
    fun found(nowMilliseconds: Long) = initialNames.forEach { newMachine(it).start(nowMilliseconds) }

    /** Adds the machine [name] with an empty disk and starts it. */
    fun add(name: String, nowMilliseconds: Long) {
        newMachine(name).apply { replaceDisk() }.start(nowMilliseconds)
    }

    /** The machine [name]. */
    fun find(name: String): SimulatedReplica = machines.first { it.name == name }

    /** Removes the machine [name] for good. */
    fun remove(name: String) {
        find(name).crash()
        machines.removeIf { it.name == name }
    }

    /** The replica that may serve reads, with the time of its clock, or null. */
    fun leader(nowMilliseconds: Long): Pair<ControlReplica, Long>? = machines
        .mapNotNull { machine -> machine.controlReplica?.let { it to machine.now(nowMilliseconds) } }
        .firstOrNull { (replica, replicaMilliseconds) -> replica.reads.canReadDocuments(replicaMilliseconds) }

    private fun newMachine(name: String): SimulatedReplica {
        val machine = SimulatedReplica(name, initialNames, random, ControlFaults(driftPerMille = 0)) { defaults ->
            defaults.copy(
                names = { machines.map(SimulatedReplica::name) },
                electionTimeoutMilliseconds = ELECTION_TIMEOUT_MILLISECONDS,
                voterLossTimeoutMilliseconds = VOTER_LOSS_TIMEOUT_MILLISECONDS,
                snapshotEveryEntries = SNAPSHOT_EVERY_ENTRIES,
                maximumVoters = maxOf(MAXIMUM_VOTERS, initialNames.size),
                toleratedLosses = toleratedLosses,
                membershipRule = faults.membershipRule,
            )
        }
        machines += machine
        return machine
    }
}
