package cassiaspindle.history.freshness

import cassiaspindle.core.result.ResultCode
import cassiaspindle.history.membership.CoreNetwork
import cassiaspindle.history.membership.MembershipFaults
import cassiaspindle.history.membership.SimulatedCore
import cassiaspindle.history.membership.SimulatedMachines
import cassiaspindle.history.membership.SimulationSchedule
import cassiaspindle.history.request.ScheduledActionQueue
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.StoredConfiguration
import kotlin.random.Random

private const val ROUND_MILLISECONDS = 20L
private const val DURATION_MILLISECONDS = 60_000L
private const val FOUNDING_MILLISECONDS = 4_000L
private const val MINIMUM_SUBMISSION_MILLISECONDS = 200L
private const val MAXIMUM_SUBMISSION_MILLISECONDS = 1_500L
private const val REPORT_MILLISECONDS = 400L
private const val RELAY_MILLISECONDS = 500L
private const val DISRUPTIONS = 20
private const val CONNECTION_DISRUPTIONS = 150
private const val ENTRIES = 6

/** Each availability zone has one control replica at least. */
private const val ZONES = 3
private const val MAXIMUM_TOLERATED_LOSSES = 2
private const val MAXIMUM_CLOCK_OFFSET_MILLISECONDS = 100_000L

/** Result of one simulation. */
data class FreshnessSimulationResult(
    val seed: Long,
    /** The first violated guarantee, or null. */
    val violation: String?,
    /** Number of times that an entry VM in touch was checked. */
    val checks: Long,
    val coreDisruptions: Int,
    val acknowledgedVersions: Int,
)

/**
 * Simulates entry VMs that read the configuration from the control replicas of a core whose links are cut, in one
 * direction or both, and whose replicas are killed, all drawn from one seed.
 */
class FreshnessSimulation(private val seed: Long, private val faults: FreshnessFaults = FreshnessFaults()) {
    private val random = Random(seed)
    private val machines =
        SimulatedMachines(random, 1 + random.nextInt(MAXIMUM_TOLERATED_LOSSES), MembershipFaults())
    private val core = SimulatedCore(machines, CoreNetwork(), MembershipFaults())
    private val queue = ScheduledActionQueue()
    private val schedule = SimulationSchedule(
        now = { now },
        isOpen = { now <= DURATION_MILLISECONDS },
        after = { milliseconds, action -> queue.add(now + milliseconds, action) },
    )
    private val oracle = FreshnessOracle()
    private val links = EntryLinks(schedule, random)
    private val entries = List(ENTRIES) {
        val clockOffset = 1 + random.nextLong(MAXIMUM_CLOCK_OFFSET_MILLISECONDS)
        SimulatedEntry("entry-$it", setOf("control-${it % ZONES}"), clockOffset)
    }
    private val publishers = mutableMapOf<String, SimulatedPublisher>()
    private val disruptions =
        FreshnessDisruptions(DisruptionTargets(core, entries, links, oracle), schedule, random)
    private var submittedVersion = 0L
    private var acknowledgedVersions = 0
    private var now = 0L

    /** Runs the simulation. */
    fun run(): FreshnessSimulationResult {
        machines.found(now)
        entries.forEach { entry -> queue.add(random.nextLong(REPORT_MILLISECONDS)) { report(entry) } }
        queue.add(FOUNDING_MILLISECONDS) { submitNext() }
        repeat(DISRUPTIONS) { addDisruption(disruptions.kinds) }
        repeat(CONNECTION_DISRUPTIONS) { addDisruption(disruptions.connectionKinds) }
        while (now < DURATION_MILLISECONDS && oracle.violation == null) runRound()
        return FreshnessSimulationResult(
            seed,
            oracle.violation,
            oracle.checks,
            disruptions.coreDisruptions,
            acknowledgedVersions,
        )
    }

    private fun addDisruption(kinds: List<() -> Unit>) =
        queue.add(random.nextLong(FOUNDING_MILLISECONDS, DURATION_MILLISECONDS), kinds.random(random))

    private fun runRound() {
        now += ROUND_MILLISECONDS
        generateSequence { queue.poll(now) }.forEach { it.action() }
        core.runRound(now).forEach { recordAnswer(it.ticket, it.outcome.code) }
        machines.all.forEach { machine ->
            machine.controlReplica?.let { publisherOf(machine.name).publishNew(it, machine.now(now)) }
        }
        if (now % RELAY_MILLISECONDS == 0L) relayFollowers()
        entries.forEach { oracle.check(it, now) }
    }

    private fun submitNext() {
        submittedVersion++
        val configuration = StoredConfiguration(submittedVersion, "content-$submittedVersion")
        val command = ControlCommand(ControlCommandKind.APPLY_CONFIGURATION, configuration = configuration)
        core.submit(command, submittedVersion, now).forEach { recordAnswer(it.ticket, it.outcome.code) }
        schedule.after(random.nextLong(MINIMUM_SUBMISSION_MILLISECONDS, MAXIMUM_SUBMISSION_MILLISECONDS), ::submitNext)
    }

    private fun recordAnswer(version: Long, code: Int) {
        if (code != ResultCode.OK.number) return
        acknowledgedVersions++
        oracle.recordAcknowledgement(version, now)
    }

    private fun report(entry: SimulatedEntry) {
        val replicas = machines.all.map { it.name }.toSet()
        val connected = replicas.filter { links.isOpen(EntryLink(entry.name, it)) }.toSet()
        entry.report(replicas, connected, now).forEach { (replica, presence) ->
            links.send(EntryLink(entry.name, replica), isUpdate = false) { deliver(replica, presence) }
        }
        schedule.after(REPORT_MILLISECONDS) { report(entry) }
    }

    private fun deliver(replica: String, presence: EntryPresence) {
        val machine = machines.find(replica)
        machine.controlReplica?.let { publisherOf(replica).receive(presence, it, machine.now(now)) }
    }

    private fun publisherOf(replica: String): SimulatedPublisher = publishers.getOrPut(replica) {
        val connectionOf = { entry: String -> links.connectionOf(EntryLink(entry, replica)) }
        SimulatedPublisher(faults, connectionOf) { entry, news -> sendUpdate(replica, entry, news) }
    }

    private fun sendUpdate(replica: String, name: String, news: FleetNews): Boolean {
        val entry = entries.first { it.name == name }
        return links.send(EntryLink(name, replica), isUpdate = true) { entry.receive(replica, news, now) }
    }

    /** Each replica relays its followers, which the others then forget. */
    private fun relayFollowers() = publishers.forEach { (replica, publisher) ->
        val reached = publishers.filterKeys { it != replica && core.network.isReachable(replica, it) }
        reached.values.forEach { it.forget(publisher.followerNames) }
    }
}
