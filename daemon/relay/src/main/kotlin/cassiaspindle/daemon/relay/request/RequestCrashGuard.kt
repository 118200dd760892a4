package cassiaspindle.daemon.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.crash.ContentCheck
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.schema.RunnerNotice

/** Time for which events must arrive before a runner can be taken not to crash under a request, in milliseconds. */
private const val SETTLED_MILLISECONDS = 1_000L

/** Keeps one request from crashing one runner after another. */
internal class RequestCrashGuard(private val dependencies: RelayDependencies, private val relayed: RelayedRequest) {
    private val guard = dependencies.contentGuard
    private val reporter = dependencies.crashReporter
    private val content = relayed.content
    private var firstEventMilliseconds: Long? = null

    /** Whether a runner has written the answer for so long that it does not crash under the request. */
    @Volatile
    private var isSettled = false

    /** Whether the request tries a suspected content, so that it may reach one runner only. */
    var isTrial = false
        private set

    /** Checks whether the next attempt may be made; returns the reason if not. A trial is made only if [hasRoute]. */
    suspend fun findRefusal(hasRoute: () -> Boolean): ResultCode? {
        if (isSettled || isTrial) return null
        return when (val check = guard.check(content, dependencies.now())) {
            ContentCheck.Allowed -> null
            is ContentCheck.Blocked -> ResultCode.CONTENT_BLOCKED
            is ContentCheck.Suspected -> ResultCode.CONTENT_SUSPECTED
            is ContentCheck.TrialRequired -> {
                isTrial = hasRoute() && dependencies.acquireTrial(check.content)
                ResultCode.CONTENT_SUSPECTED.takeUnless { isTrial }
            }
        }
    }

    /** Records that an attempt starts. */
    fun startAttempt() {
        firstEventMilliseconds = null
    }

    /** Records that an event of the current attempt has arrived. */
    fun recordEvent() {
        val now = dependencies.now()
        val first = firstEventMilliseconds ?: now.also { firstEventMilliseconds = it }
        if (now - first >= SETTLED_MILLISECONDS) isSettled = true
    }

    /** Records that [choice] answered the request whole; [isDelimited] tells if the answer stated where it ends. */
    fun recordAnswer(choice: RouteChoice, isDelimited: Boolean) =
        reporter.recordAnswer(content, choice.backEnd, endsWithConnection = !isDelimited && !isSettled)

    /** Whether other runners may take over from a lost one while the request runs. */
    fun mayReroute(): Boolean = isSettled || guard.isCleared(content)

    /** Handles the failure [result] at [choice]; returns whether a repeat may crash a second runner. */
    suspend fun mayHaveCrashed(result: AttemptResult.Failed, choice: RouteChoice): Boolean {
        val runner = interruptedRunner(result, choice)
        if (runner == null || isSettled) return false
        reporter.recordInterruption(runner, content)
        return !guard.isCleared(content) &&
            (result.cause == FailureCause.STALLED || reporter.hasCrashed(runner))
    }

    private fun interruptedRunner(result: AttemptResult.Failed, choice: RouteChoice): RunnerNotice? =
        when (result.cause) {
            FailureCause.STALLED -> choice.backEnds.firstOrNull { it.address == result.faultyAddress }
            FailureCause.CONNECTION_BROKEN -> choice.backEnd
            FailureCause.OTHER, FailureCause.REFUSED -> null
        }
}
