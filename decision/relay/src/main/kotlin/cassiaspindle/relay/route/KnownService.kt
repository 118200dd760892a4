package cassiaspindle.relay.route

import cassiaspindle.relay.fleet.isUsable
import cassiaspindle.relay.placement.layerRange
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState

/** A service whose first server is known for less than this, in milliseconds, is starting as a whole. */
private const val SERVICE_START_MILLISECONDS = 10_000L

/** What a notice shows about the start of a server. */
internal enum class ObservedStart { NONE, STARTED, RETURNED }

/** The starts of a service's servers that this entry VM has seen. */
internal class KnownService {
    private val seenByServer = mutableMapOf<String, SeenServer>()
    private var firstServingMilliseconds = Long.MAX_VALUE

    /** Takes note of [notice]. */
    fun observe(notice: RunnerNotice, nowMilliseconds: Long): ObservedStart {
        val previous = seenByServer[notice.id]?.takeIf { it.bornMilliseconds == notice.bornMilliseconds }
        val isServing = notice.isServing
        val hasServed = previous?.hasServed ?: false
        seenByServer[notice.id] = SeenServer(notice.bornMilliseconds, isServing, hasServed || isServing)
        if (notice.state == RunnerState.GONE) seenByServer -= notice.id
        if (isServing) firstServingMilliseconds = minOf(firstServingMilliseconds, nowMilliseconds)
        return when {
            !isServing || nowMilliseconds - firstServingMilliseconds < SERVICE_START_MILLISECONDS -> ObservedStart.NONE
            !hasServed -> ObservedStart.STARTED
            previous?.isServing == false -> ObservedStart.RETURNED
            else -> ObservedStart.NONE
        }
    }

    private data class SeenServer(val bornMilliseconds: Long, val isServing: Boolean, val hasServed: Boolean)
}

/** Whether it can get requests: a runner of a model needs layers. */
private val RunnerNotice.isServing: Boolean get() = isUsable && (kind == null || layerRange() != null)
