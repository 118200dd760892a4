package cassiaspindle.history.crash

import cassiaspindle.schema.RequestContent
import kotlin.random.Random

/** Random requests: sound ones, and ones with a deadly part, at any place, that share their other parts with those. */
internal class CrashWorkload(private val random: Random) {
    private val deadlyParts = List(1 + random.nextInt(MAXIMUM_DEADLY_PARTS)) { "deadly-$it" }
    private val deadlyPercent = 1 + random.nextInt(MAXIMUM_DEADLY_PERCENT)
    private val startMilliseconds = random.nextLong(MAXIMUM_START_MILLISECONDS)
    private var count = 0

    /** The content of the next request. */
    fun next(nowMilliseconds: Long): RequestContent {
        val own = "request-${count++}"
        val sound = listOf(MOST_COMMON, "part-${random.nextInt(PARTS)}").drop(random.nextInt(2))
        val isDeadly = nowMilliseconds >= startMilliseconds && random.nextInt(PERCENT) < deadlyPercent
        if (!isDeadly) return RequestContent(own, sound)
        val place = random.nextInt(sound.size + 1)
        return RequestContent(own, sound.take(place) + deadlyParts.random(random) + sound.drop(place))
    }

    /** The deadly part of [content], or null. */
    fun deadlyPart(content: RequestContent): String? = content.shared.firstOrNull(deadlyParts::contains)

    /** Whether a runner crashes when it begins to answer a request with [content]. */
    fun isDeadly(content: RequestContent): Boolean = deadlyPart(content) != null

    /** Whether [content] crashes runners. */
    fun isDeadlyPart(content: String): Boolean = content in deadlyParts

    private companion object {
        const val MAXIMUM_DEADLY_PARTS = 2
        const val MAXIMUM_DEADLY_PERCENT = 20
        const val PERCENT = 100
        const val PARTS = 30

        /** A part that most requests share. */
        const val MOST_COMMON = "common"
        const val MAXIMUM_START_MILLISECONDS = 20_000L
    }
}
