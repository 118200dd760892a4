package cassiaspindle.history.pace

import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState

private const val OUTAGE_MILLISECONDS = 2_000L
private const val SECOND_OUTAGE_MILLISECONDS = 5_000L
private const val COLD_MILLISECONDS = 10_000L
private const val COLD_FACTOR = 8.0

/** What an incident needs from its simulation. */
internal data class IncidentActions(
    val now: () -> Long,
    val schedule: (delayMilliseconds: Long, action: () -> Unit) -> Unit,
    val announce: (RunnerNotice) -> Unit,
)

/** What happens to the server [concerned] in [scenario]. */
internal class PaceIncident(
    private val scenario: PaceScenario,
    private val concerned: SimulatedServer,
    private val actions: IncidentActions,
) {
    /** Schedules what happens. */
    fun schedule() {
        val isFirstStart = scenario != PaceScenario.RESTART && scenario != PaceScenario.FAILS_AGAIN
        if (!isFirstStart) actions.announce(concerned.notice())
        actions.schedule(INCIDENT_MILLISECONDS) {
            when (scenario) {
                PaceScenario.COLD_START -> start(COLD_FACTOR, COLD_MILLISECONDS)
                PaceScenario.WARM_START -> start(factor = 1.0, coldMilliseconds = 0)
                PaceScenario.STAYS_SLOW -> start(COLD_FACTOR, coldMilliseconds = Long.MAX_VALUE / 2)
                PaceScenario.NEVER_ANSWERS -> start(factor = 1.0, coldMilliseconds = 0).also {
                    concerned.mode = ServerMode.HANGS
                }
                PaceScenario.RESTART -> {
                    actions.announce(concerned.notice(RunnerState.GONE))
                    actions.schedule(OUTAGE_MILLISECONDS) { start(COLD_FACTOR, COLD_MILLISECONDS) }
                }
                PaceScenario.FAILS_AGAIN -> fail()
            }
        }
    }

    private fun start(factor: Double, coldMilliseconds: Long) {
        concerned.start(actions.now(), factor, coldMilliseconds)
        actions.announce(concerned.notice())
    }

    /** Fails without a new process: two outages soon after each other. */
    private fun fail() {
        concerned.mode = ServerMode.FAILS
        actions.schedule(OUTAGE_MILLISECONDS) { concerned.mode = ServerMode.ANSWERS }
        actions.schedule(OUTAGE_MILLISECONDS * 2) { concerned.mode = ServerMode.FAILS }
        actions.schedule(OUTAGE_MILLISECONDS * 2 + SECOND_OUTAGE_MILLISECONDS) { concerned.mode = ServerMode.ANSWERS }
    }
}
