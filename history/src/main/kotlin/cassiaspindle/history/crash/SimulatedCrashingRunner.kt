package cassiaspindle.history.crash

import cassiaspindle.schema.RequestContent

/** A request that a runner reads or answers. */
internal class SimulatedCrashRequest(
    val content: RequestContent,
    val entry: SimulatedContentEntry,
    val runnerStart: Long,
) {
    var isSettled = false
}

/** A runner that is back some seconds after a crash. */
internal class SimulatedCrashingRunner(val name: String) {
    val requests = mutableListOf<SimulatedCrashRequest>()

    /** Wall clock time of its latest start. */
    var start = 0L
        private set

    fun isUp(nowMilliseconds: Long) = nowMilliseconds >= start

    fun crash(nowMilliseconds: Long) {
        requests.clear()
        start = nowMilliseconds + RESTART_MILLISECONDS
    }

    private companion object {
        const val RESTART_MILLISECONDS = 3_000L
    }
}
