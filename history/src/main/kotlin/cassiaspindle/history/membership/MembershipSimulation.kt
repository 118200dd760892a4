package cassiaspindle.history.membership

import cassiaspindle.history.request.ScheduledActionQueue
import kotlin.random.Random

private const val ROUND_MILLISECONDS = 20L
private const val DURATION_MILLISECONDS = 60_000L
private const val RECOVERY_MILLISECONDS = 20_000L
private const val FOUNDING_MILLISECONDS = 4_000L
private const val SUBMISSION_MILLISECONDS = 400L
private const val DISRUPTIONS = 14
private const val MAXIMUM_TOLERATED_LOSSES = 3

/** Result of one simulation. */
data class MembershipSimulationResult(
    val seed: Long,
    /** Violated guarantees; empty if there were none. */
    val violations: List<String>,
    /** Newest acknowledged version. */
    val acknowledgedVersion: Long,
    val replacedMachines: Int,
    val lostDisks: Int,
)

/**
 * Simulates a core whose machines are replaced, added, stopped, killed, also all at once, cut off and lose their disks,
 * all drawn from one seed.
 *
 * No more machines are lost at the same time than the core tolerates. A machine is lost while it is down or cut off and
 * until its catch-up time is over. One that is replaced is not lost, since its successor starts a catch-up time
 * earlier; if it is removed without notice, it counts as lost until that can be detected. A new leader, which every
 * further disruption may cause, detects it anew. In the end all that was acknowledged must be there, and changes must
 * be accepted.
 */
class MembershipSimulation(private val seed: Long, faults: MembershipFaults = MembershipFaults()) {
    private val random = Random(seed)
    private val toleratedLosses = 1 + random.nextInt(MAXIMUM_TOLERATED_LOSSES)
    private val machines = SimulatedMachines(random, toleratedLosses, faults)
    private val core = SimulatedCore(machines, CoreNetwork(), faults)
    private val queue = ScheduledActionQueue()
    private val schedule = SimulationSchedule(
        now = { now },
        isOpen = { now <= DURATION_MILLISECONDS },
        after = { milliseconds, action -> queue.add(now + milliseconds, action) },
    )
    private val disruptions = CoreDisruptions(core, LossAccount(toleratedLosses), schedule, random)
    private val workload = CoreWorkload(core, faults)
    private var now = 0L

    /** Runs the simulation. */
    fun run(): MembershipSimulationResult {
        machines.found(now)
        repeat(DISRUPTIONS) {
            queue.add(random.nextLong(FOUNDING_MILLISECONDS, DURATION_MILLISECONDS), disruptions.kinds.random(random))
        }
        while (now < DURATION_MILLISECONDS + RECOVERY_MILLISECONDS) runRound()
        return MembershipSimulationResult(
            seed,
            violations(),
            workload.acknowledgedVersion,
            disruptions.replacedMachines,
            disruptions.lostDisks,
        )
    }

    private fun runRound() {
        now += ROUND_MILLISECONDS
        generateSequence { queue.poll(now) }.forEach { it.action() }
        core.runRound(now).forEach(workload::handleAnswer)
        if (now % SUBMISSION_MILLISECONDS == 0L) workload.submitNext(now)
    }

    private fun violations(): List<String> {
        val leader = machines.leader(now) ?: return listOf("no leader answers after all disruptions are over")
        return workload.violations(leader.first.reads, RECOVERY_MILLISECONDS / SUBMISSION_MILLISECONDS)
    }
}
