package cassiaspindle.history.membership

import cassiaspindle.history.control.SimulatedReplica
import kotlin.random.Random

private const val RETRY_MILLISECONDS = 20L
private const val MAXIMUM_WAIT_MILLISECONDS = 3_000L
private const val TWO_REPLACED_ONE_IN = 3

/** Adds machines to a core and replaces machines, one or two at the same time. */
internal class Replacements(
    private val core: SimulatedCore,
    private val losses: LossAccount,
    private val schedule: SimulationSchedule,
    private val random: Random,
) {
    private val stops = PlannedStops(core, schedule)
    private val leaving = mutableSetOf<String>()
    private var addedMachines = 0

    /** Number of machines that were replaced. */
    var count = 0
        private set

    /** Whether a machine is being replaced. */
    val isAnyLeaving: Boolean get() = core.machines.all.any { it.name in leaving }

    /** The machines that neither are lost nor will be replaced. */
    fun availableMachines(): List<String> = core.machines.all
        .map(SimulatedReplica::name)
        .filter { it !in leaving && !losses.isLost(it, schedule.now()) }

    /** Adds a machine that replaces none. */
    fun addMachine() = core.machines.add("added-${addedMachines++}", schedule.now())

    /** Replaces machines that stop as planned. */
    fun replacePlanned() = replaceOneOrTwo { old -> stops.stop(old) { core.machines.remove(old) } }

    /** Replaces machines that are removed without notice. */
    fun replaceWithoutNotice() = replaceOneOrTwo { old ->
        core.machines.remove(old)
        losses.recordRemoval(old, schedule.now())
    }

    /** Adds successors first; each old machine ends once its successor had its catch-up time. */
    private fun replaceOneOrTwo(end: (old: String) -> Unit) {
        val machines = if (random.nextInt(TWO_REPLACED_ONE_IN) == 0) 2 else 1
        availableMachines().shuffled(random).take(machines).forEach { old ->
            leaving += old
            addMachine()
            val wait = CATCH_UP_MILLISECONDS + random.nextLong(MAXIMUM_WAIT_MILLISECONDS)
            schedule.after(wait) { endWhenBorne(old, end) }
        }
    }

    /** Ends [old] while the machines that stay bear it; otherwise tries again later, as an operator would. */
    private fun endWhenBorne(old: String, end: (old: String) -> Unit) {
        val isBorne = losses.canLoseOneMore(schedule.now()) && !losses.isLost(old, schedule.now())
        when {
            !schedule.isOpen() -> Unit
            isBorne -> {
                count++
                end(old)
            }
            else -> schedule.after(RETRY_MILLISECONDS) { endWhenBorne(old, end) }
        }
    }
}
