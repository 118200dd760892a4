package cassiaspindle.load

import cassiaspindle.schema.BackEndLoads
import cassiaspindle.schema.ServiceArrivals
import java.util.zip.CRC32

/** Tokens in one unit of [BackEndLoads.tokenUnits]: numbers under 256, which are common, take two bytes. */
const val TOKENS_PER_UNIT = 64

/** Requests in flight, and tokens in units of [TOKENS_PER_UNIT]. Sums are limited instead of overflowing. */
data class BackEndLoad(val requests: Int, val tokenUnits: Int) {
    /** The sum of both; a negative part counts as zero. */
    operator fun plus(other: BackEndLoad) =
        BackEndLoad(sumOf(requests, other.requests), sumOf(tokenUnits, other.tokenUnits))

    /** What remains without [part], at least zero: a part may be newer than the whole. */
    operator fun minus(part: BackEndLoad?) =
        BackEndLoad(maxOf(0, requests - (part?.requests ?: 0)), maxOf(0, tokenUnits - (part?.tokenUnits ?: 0)))

    /** Constants. */
    companion object {
        /** No load. */
        val NONE = BackEndLoad(0, 0)
    }
}

/** Identifies the arrivals of one service with one priority. */
data class ServicePriority(val service: String, val priority: Int)

/**
 * The key that stands for the backend server [id] in messages: a checksum of five bytes at most when encoded. Ids that
 * differ only within four characters never share a key; others do with a probability of 2^-32, and then each is taken
 * to have the load of both.
 */
fun backEndKeyOf(id: String): Int = CRC32().apply { update(id.encodeToByteArray()) }.value.toInt()

/** The load by key. Lists of different lengths are cut to the shortest, and negative numbers count as zero. */
internal fun BackEndLoads?.toMap(): Map<Int, BackEndLoad> {
    if (this == null) return emptyMap()
    val loads = HashMap<Int, BackEndLoad>()
    repeat(minOf(backEnds.size, requests.size, tokenUnits.size)) { index ->
        val load = BackEndLoad.NONE + BackEndLoad(requests[index], tokenUnits[index])
        loads.merge(backEnds[index], load, BackEndLoad::plus)
    }
    return loads
}

/** The message for a load by key, or null if there is none. */
internal fun Map<Int, BackEndLoad>.toMessage(): BackEndLoads? = if (isEmpty()) {
    null
} else {
    BackEndLoads(keys.toList(), values.map(BackEndLoad::requests), values.map(BackEndLoad::tokenUnits))
}

/** The sum of loads by key. */
internal fun sumOfLoads(parts: List<Map<Int, BackEndLoad>>): Map<Int, BackEndLoad> {
    val sum = HashMap<Int, BackEndLoad>()
    parts.forEach { part -> part.forEach { (key, load) -> sum.merge(key, load, BackEndLoad::plus) } }
    return sum
}

/** The sum of arrivals; negative rates count as zero. */
internal fun sumOfArrivals(parts: List<List<ServiceArrivals>>): List<ServiceArrivals> = parts.flatten()
    .groupingBy { ServicePriority(it.service, it.priority) }
    .fold(0) { sum, arrivals -> sumOf(sum, arrivals.perMinute) }
    .map { (key, perMinute) -> ServiceArrivals(key.service, key.priority, perMinute) }

/** The sum of two counts of which a negative one is invalid and counts as zero. */
private fun sumOf(first: Int, second: Int): Int =
    (maxOf(0, first).toLong() + maxOf(0, second)).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
