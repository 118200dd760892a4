package cassiaspindle.history.freshness

import cassiaspindle.history.membership.SimulatedCore
import cassiaspindle.history.membership.SimulationSchedule
import kotlin.random.Random

private const val MINIMUM_CUT_MILLISECONDS = 4_000L
private const val MAXIMUM_CUT_MILLISECONDS = 9_000L
private const val MAXIMUM_DOWN_MILLISECONDS = 2_000L
private const val MAXIMUM_CLOSED_MILLISECONDS = 300L
private const val MAXIMUM_FULL_MILLISECONDS = 400L

/** What disruptions act on. */
internal data class DisruptionTargets(
    val core: SimulatedCore,
    val entries: List<SimulatedEntry>,
    val links: EntryLinks,
    val oracle: FreshnessOracle,
)

/** Disrupts one control replica at a time, and entry VMs and their connections at any time. */
internal class FreshnessDisruptions(
    private val targets: DisruptionTargets,
    private val schedule: SimulationSchedule,
    private val random: Random,
) {
    private val network = targets.core.network
    private var disrupted: String? = null
    private var isLeaderDisrupted = false

    /** Number of disruptions of the core. */
    var coreDisruptions = 0
        private set

    /** Disruptions after which a while passes until the rule is asked again. */
    val kinds: List<() -> Unit> = listOf(
        { disruptCore { cut(it, network::cutIncoming) } },
        { disruptCore { cut(it, network::cutOutgoing) } },
        { disruptCore { cut(it, network::isolate) } },
        { disruptCore(::kill) },
        ::restartEntry,
    )

    /** Disruptions of single connections, which excuse nobody. */
    val connectionKinds: List<() -> Unit> = listOf(::closeLink, ::fillLink)

    private fun disruptCore(disrupt: (name: String) -> Unit) {
        if (disrupted != null) return
        val name = targets.core.machines.all.random(random).name
        disrupted = name
        coreDisruptions++
        isLeaderDisrupted = targets.core.machines.find(name).controlReplica?.reads?.isLeader() ?: false
        recordIfLeaderDisrupted()
        disrupt(name)
    }

    private fun cut(name: String, disconnect: (String) -> Unit) {
        disconnect(name)
        schedule.after(random.nextLong(MINIMUM_CUT_MILLISECONDS, MAXIMUM_CUT_MILLISECONDS)) {
            network.connect(name)
            endCoreDisruption()
        }
    }

    private fun kill(name: String) {
        val machine = targets.core.machines.find(name)
        machine.crash()
        targets.entries.forEach { targets.links.close(EntryLink(it.name, name), milliseconds = 1) }
        schedule.after(random.nextLong(1, MAXIMUM_DOWN_MILLISECONDS)) {
            machine.start(schedule.now())
            endCoreDisruption()
        }
    }

    private fun endCoreDisruption() {
        disrupted = null
        recordIfLeaderDisrupted()
    }

    /** A quorum that keeps its leader goes on acknowledging, so the disruption of another replica excuses nobody. */
    private fun recordIfLeaderDisrupted() {
        if (isLeaderDisrupted) targets.oracle.recordCoreDisruption(schedule.now())
    }

    private fun restartEntry() {
        val entry = targets.entries.random(random)
        targets.oracle.recordDisruption(entry.name, schedule.now())
        targets.core.machines.all.forEach { targets.links.close(EntryLink(entry.name, it.name), milliseconds = 1) }
        entry.restart()
    }

    private fun closeLink() = targets.links.close(anyLink(), random.nextLong(1, MAXIMUM_CLOSED_MILLISECONDS))

    private fun fillLink() = targets.links.fill(anyLink(), random.nextLong(1, MAXIMUM_FULL_MILLISECONDS))

    private fun anyLink() =
        EntryLink(targets.entries.random(random).name, targets.core.machines.all.random(random).name)
}
