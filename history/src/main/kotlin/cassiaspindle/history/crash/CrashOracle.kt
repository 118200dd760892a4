package cassiaspindle.history.crash

import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.RequestContent

/**
 * Checks a history: after the fifth crash under a part, few further requests with it are sent; no sound content is
 * blocked; and sound requests are served meanwhile.
 */
internal class CrashOracle(private val workload: CrashWorkload) {
    private val crashTimes = mutableMapOf<String, MutableList<Long>>()
    private val sentTimes = mutableMapOf<String, MutableList<Long>>()
    private var lastPowerLoss = 0L
    private var sound = 0
    private var soundRefused = 0

    /** Number of sound requests that were answered. */
    var answered = 0

    fun recordRequest(content: RequestContent, isSent: Boolean, isInTouch: Boolean, nowMilliseconds: Long) {
        val part = workload.deadlyPart(content)
        if (part != null && isSent && isInTouch) sentTimes.getOrPut(part) { mutableListOf() } += nowMilliseconds
        if (part == null && isInTouch && nowMilliseconds - lastPowerLoss > RECOVERY_MILLISECONDS) {
            sound++
            if (!isSent) soundRefused++
        }
    }

    fun recordCrash(content: RequestContent, nowMilliseconds: Long) {
        val part = workload.deadlyPart(content) ?: return
        crashTimes.getOrPut(part) { mutableListOf() } += nowMilliseconds
    }

    /** After a loss of all power no content is cleared anywhere for some time. */
    fun recordPowerLoss(nowMilliseconds: Long) {
        lastPowerLoss = nowMilliseconds
    }

    /** What was violated, with [blocked] at the end. */
    fun violations(blocked: List<BlockedContent>): List<String> =
        crashTimes.mapNotNull { (part, times) -> excessOf(part, times) } +
            blocked.filterNot { workload.isDeadlyPart(it.content) }.map { "sound content ${it.content} is blocked" } +
            listOfNotNull("$soundRefused of $sound sound requests refused".takeIf { soundRefused * 2 > sound })

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
        private const val RECOVERY_MILLISECONDS = 15_000L
    }
}
