package cassiaspindle.history.membership

import cassiaspindle.history.control.SimulatedReplica
import kotlin.random.Random

private const val MAXIMUM_DOWN_MILLISECONDS = 1_000L
private const val MAXIMUM_CUT_MILLISECONDS = 2_500L

/** The time of a simulation, as function types. */
internal data class SimulationSchedule(
    val now: () -> Long,
    /** Whether disruptions may still begin. */
    val isOpen: () -> Boolean,
    val after: (milliseconds: Long, action: () -> Unit) -> Unit,
)

/** Disrupts the machines of a core; those of a kind that is a loss only while one more may be lost. */
internal class CoreDisruptions(
    private val core: SimulatedCore,
    private val losses: LossAccount,
    private val schedule: SimulationSchedule,
    private val random: Random,
) {
    private val stops = PlannedStops(core, schedule)
    private val replacements = Replacements(core, losses, schedule, random)

    /** Number of machines that were replaced. */
    val replacedMachines: Int get() = replacements.count

    /** Number of disks that were lost. */
    var lostDisks = 0
        private set

    /** All kinds of disruptions; planned replacements are the most frequent. */
    val kinds: List<() -> Unit> = listOf(
        replacements::replacePlanned,
        replacements::replacePlanned,
        replacements::replaceWithoutNotice,
        replacements::addMachine,
        ::loseDisk,
        ::restart,
        ::cutOff,
        ::killAll,
    )

    private fun loseDisk() = disturb { machine ->
        machine.replaceDisk()
        lostDisks++
        startLater(machine)
    }

    private fun restart() = disturb { machine ->
        val isPlanned = random.nextBoolean()
        val end = {
            machine.crash()
            startLater(machine)
        }
        if (isPlanned) {
            stops.stop(machine.name) { end() }
            MAXIMUM_STOP_MILLISECONDS + MAXIMUM_DOWN_MILLISECONDS
        } else {
            end()
        }
    }

    private fun cutOff() = disturb { machine ->
        core.network.isolate(machine.name)
        val cut = random.nextLong(MAXIMUM_CUT_MILLISECONDS)
        schedule.after(cut) { core.network.connect(machine.name) }
        cut
    }

    /** Kills all processes, unless one is about to stop: it would not come back. All are lost until they catch up. */
    private fun killAll() {
        if (replacements.isAnyLeaving) return
        core.machines.all.forEach { machine ->
            machine.crash()
            losses.recordDisruption(machine.name, schedule.now(), schedule.now() + startLater(machine))
        }
    }

    /** Applies [disruption], which returns its duration in milliseconds, to a machine if one more may be lost. */
    private fun disturb(disruption: (machine: SimulatedReplica) -> Long) {
        val name = replacements.availableMachines().randomOrNull(random) ?: return
        if (!losses.canLoseOneMore(schedule.now())) return
        val end = schedule.now() + disruption(core.machines.find(name))
        losses.recordDisruption(name, schedule.now(), end)
    }

    private fun startLater(machine: SimulatedReplica): Long {
        val down = random.nextLong(MAXIMUM_DOWN_MILLISECONDS)
        schedule.after(down) { machine.start(schedule.now()) }
        return down
    }
}
