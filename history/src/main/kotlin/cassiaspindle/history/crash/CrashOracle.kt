package cassiaspindle.history.crash

import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.RequestContent

/**
 * Checks a history: after the fifth crash under a part, few further requests with it are sent; no harmless content is
 * blocked; and harmless requests are served meanwhile.
 */
internal class CrashOracle(private val workload: CrashWorkload) {
    private val crashTimes = mutableMapOf<String, MutableList<Long>>()
    private val sentTimes = mutableMapOf<String, MutableList<Long>>()
    private var lastPowerLoss = 0L
    private var harmless = 0
    private var harmlessRefused = 0

    private val answerTimes = mutableMapOf<String, Long>()
    private var refusedThoughAnswered = 0

    /** Number of harmless requests that were answered. */
    var answered = 0
        private set

    fun recordRequest(content: RequestContent, isSent: Boolean, isInTouch: Boolean, nowMilliseconds: Long) {
        val part = workload.crashingPart(content)
        if (part != null && isSent && isInTouch) sentTimes.getOrPut(part) { mutableListOf() } += nowMilliseconds
        if (part == null && isInTouch && nowMilliseconds - lastPowerLoss > RECOVERY_MILLISECONDS) {
            harmless++
            if (!isSent) recordRefusal(content, nowMilliseconds)
        }
    }

    fun recordAnswer(content: RequestContent, nowMilliseconds: Long) {
        answered++
        content.shared.forEach { answerTimes.putIfAbsent(it, nowMilliseconds) }
    }

    private fun recordRefusal(content: RequestContent, nowMilliseconds: Long) {
        harmlessRefused++
        val isLongAnswered = content.shared.all { part ->
            answerTimes[part]?.let { nowMilliseconds - it > SPREADING_MILLISECONDS } ?: false
        }
        if (isLongAnswered) refusedThoughAnswered++
    }

    fun recordCrash(content: RequestContent, nowMilliseconds: Long) {
        val part = workload.crashingPart(content) ?: return
        crashTimes.getOrPut(part) { mutableListOf() } += nowMilliseconds
    }

    /** After a loss of all power no content is cleared anywhere for some time. */
    fun recordPowerLoss(nowMilliseconds: Long) {
        lastPowerLoss = nowMilliseconds
        answerTimes.clear()
    }

    /** What was violated, with [blocked] at the end. */
    fun violations(blocked: List<BlockedContent>): List<String> =
        crashTimes.mapNotNull { (part, times) -> excessOf(part, times) } +
            blocked.filterNot { workload.isCrashingPart(it.content) }
                .map { "harmless content ${it.content} is blocked" } +
            refusalViolations()

    private fun refusalViolations(): List<String> = listOfNotNull(
        "$harmlessRefused of $harmless harmless requests refused".takeIf { harmlessRefused * 2 > harmless },
        "$refusedThoughAnswered of $harmless requests refused whose parts were answered long before"
            .takeIf { refusedThoughAnswered * MAXIMUM_REFUSED_ONE_IN > harmless },
    )

    private fun excessOf(part: String, times: List<Long>): String? {
        val fifth = times.getOrNull(DECIDING_CRASHES - 1) ?: return null
        val bound = fifth + CONNECTIVITY_MILLISECONDS
        val later = sentTimes[part].orEmpty().count { it > bound }
        return "$later requests with $part after the fifth crash".takeIf { later > MAXIMUM_LATER_REQUESTS }
    }

    companion object {
        /** Time after a disturbance until an entry VM counts as connected again. */
        const val CONNECTIVITY_MILLISECONDS = 3_000L
        private const val DECIDING_CRASHES = 5
        private const val MAXIMUM_LATER_REQUESTS = 3

        /** Time in which every entry VM in touch learns that a content is cleared, in milliseconds. */
        private const val SPREADING_MILLISECONDS = 5_000L
        private const val MAXIMUM_REFUSED_ONE_IN = 100
        private const val RECOVERY_MILLISECONDS = 15_000L
    }
}
