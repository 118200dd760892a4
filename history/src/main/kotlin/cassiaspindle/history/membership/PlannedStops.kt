package cassiaspindle.history.membership

private const val POLL_MILLISECONDS = 20L

/** Time that a process takes for a planned stop at least, in milliseconds. */
private const val STOP_MILLISECONDS = 3_000L

/** Time after which a process ends although its vote is not handed over, in milliseconds. */
internal const val MAXIMUM_STOP_MILLISECONDS = 6_500L

/** Stops processes as planned: each ends once its replica has handed over. */
internal class PlannedStops(private val core: SimulatedCore, private val schedule: SimulationSchedule) {
    /** Stops the process at [name], then calls [end]. */
    fun stop(name: String, end: () -> Unit) {
        core.prepareStop(name, schedule.now())
        val latest = schedule.now() + MAXIMUM_STOP_MILLISECONDS
        schedule.after(STOP_MILLISECONDS) { endWhenHandedOver(name, latest, end) }
    }

    private fun endWhenHandedOver(name: String, latest: Long, end: () -> Unit) {
        if (core.mayStop(name) || schedule.now() >= latest) return end()
        schedule.after(POLL_MILLISECONDS) { endWhenHandedOver(name, latest, end) }
    }
}
