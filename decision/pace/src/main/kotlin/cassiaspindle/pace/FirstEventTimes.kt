package cassiaspindle.pace

import cassiaspindle.core.concurrency.Sharded

private const val SHARDS = 4

/** Weight of an answer in the moving average of its server. */
private const val ANSWER_WEIGHT = 0.1

/** Time after which the average of a server without answers is not used any more, in milliseconds. */
private const val RETENTION_MILLISECONDS = 30_000L

/** Times to the first event as seen by this entry VM, sharded by group: servers that can be compared. */
class FirstEventTimes {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, MutableMap<String, Average>>() }

    /** Records an answer of the server [id] of [group]. */
    fun record(group: String, id: String, firstEventMilliseconds: Long, nowMilliseconds: Long) =
        shards.withKey(group) { groups ->
            val averages = groups.getOrPut(group) { mutableMapOf() }
            if (id !in averages) averages.values.removeIf { it.isOld(nowMilliseconds) }
            val previous = averages[id]?.milliseconds ?: firstEventMilliseconds.toDouble()
            val next = previous + (firstEventMilliseconds - previous) * ANSWER_WEIGHT
            averages[id] = Average(next, nowMilliseconds)
        }

    /** The mean of the servers of [group] other than those of [excludedIds], in milliseconds; null without one. */
    fun meanOfOthers(group: String, excludedIds: Set<String>, nowMilliseconds: Long): Double? =
        shards.withKey(group) { groups ->
            val others = groups[group].orEmpty().filter { (id, average) ->
                id !in excludedIds && !average.isOld(nowMilliseconds)
            }
            if (others.isEmpty()) null else others.values.sumOf { it.milliseconds } / others.size
        }

    private data class Average(val milliseconds: Double, val atMilliseconds: Long) {
        fun isOld(nowMilliseconds: Long) = nowMilliseconds - atMilliseconds > RETENTION_MILLISECONDS
    }
}
