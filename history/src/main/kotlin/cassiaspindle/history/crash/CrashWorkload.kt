package cassiaspindle.history.crash

import cassiaspindle.schema.RequestContent
import kotlin.random.Random

/** Random requests: harmless ones, and ones with a part that crashes runners, at any place, beside common parts. */
internal class CrashWorkload(private val random: Random) {
    private val crashingParts = List(1 + random.nextInt(MAXIMUM_CRASHING_PARTS)) { "crashing-$it" }
    private val crashingPercent = 1 + random.nextInt(MAXIMUM_CRASHING_PERCENT)
    private val startMilliseconds = random.nextLong(MAXIMUM_START_MILLISECONDS)
    private var count = 0

    /** The content of the next request. */
    fun next(nowMilliseconds: Long): RequestContent {
        val own = "request-${count++}"
        val harmless = listOf(MOST_COMMON, "part-${random.nextInt(PARTS)}").drop(random.nextInt(2))
        val isCrashing = nowMilliseconds >= startMilliseconds && random.nextInt(PERCENT) < crashingPercent
        if (!isCrashing) return RequestContent(own, harmless)
        val place = random.nextInt(harmless.size + 1)
        return RequestContent(own, harmless.take(place) + crashingParts.random(random) + harmless.drop(place))
    }

    /** The crashing part of [content], or null. */
    fun crashingPart(content: RequestContent): String? = content.shared.firstOrNull(crashingParts::contains)

    /** Whether a runner crashes when it begins to answer a request with [content]. */
    fun isCrashing(content: RequestContent): Boolean = crashingPart(content) != null

    /** Whether [content] crashes runners. */
    fun isCrashingPart(content: String): Boolean = content in crashingParts

    private companion object {
        const val MAXIMUM_CRASHING_PARTS = 2
        const val MAXIMUM_CRASHING_PERCENT = 20
        const val PERCENT = 100
        const val PARTS = 30

        /** A part that most requests share. */
        const val MOST_COMMON = "common"
        const val MAXIMUM_START_MILLISECONDS = 20_000L
    }
}
