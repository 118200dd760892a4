package cassiaspindle.relay.crash

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.CrashReport
import cassiaspindle.schema.RequestContent
import cassiaspindle.schema.RunnerNotice

private const val SHARDS = 4

/** Time after an interrupted attempt within which a crash of its runner may explain it, in milliseconds. */
private const val OBSERVATION_MILLISECONDS = 10_000L
private const val MAXIMUM_SUSPECTS = 64

/**
 * The requests of this entry VM whose attempts were interrupted by the end of a connection, by runner. They are
 * suspects only if the runner crashed: a connection may end for other reasons. Sharded by address of the runner.
 */
class CrashObservations {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Observation>() }

    /** Records that an attempt with [content] at [runner] was interrupted; returns a report if its crash is known. */
    fun recordInterruption(runner: RunnerNotice, content: RequestContent, nowMilliseconds: Long): CrashReport? =
        shards.withKey(runner.address) { observations ->
            observations.values.removeIf { it.isExpired(nowMilliseconds) }
            val observation = observations[runner.address]
                ?.takeIf { it.bornMilliseconds >= runner.bornMilliseconds }
                ?: Observation(runner.id, runner.bornMilliseconds).also { observations[runner.address] = it }
            observation.lastMilliseconds = nowMilliseconds
            if (observation.suspects.size < MAXIMUM_SUSPECTS) observation.suspects += content
            if (observation.isCrashed) observation.takeReport() else null
        }

    /** Records that the runner at [address], if it started before [beforeMilliseconds], has crashed. */
    fun recordCrash(address: String, beforeMilliseconds: Long, nowMilliseconds: Long): CrashReport? =
        shards.withKey(address) { observations ->
            observations[address]
                ?.takeUnless { it.isExpired(nowMilliseconds) }
                ?.takeIf { it.bornMilliseconds < beforeMilliseconds }
                ?.also { it.isCrashed = true }
                ?.takeReport()
        }

    private class Observation(val runner: String, val bornMilliseconds: Long) {
        val suspects = mutableListOf<RequestContent>()
        var lastMilliseconds = 0L
        var isCrashed = false

        fun isExpired(nowMilliseconds: Long) = nowMilliseconds - lastMilliseconds > OBSERVATION_MILLISECONDS

        /** A report of the suspects that were not reported yet, or null if there are none. */
        fun takeReport(): CrashReport? {
            val report = CrashReport(runner, bornMilliseconds, suspects.distinct())
            suspects.clear()
            return report.takeIf { it.suspects.isNotEmpty() }
        }
    }
}
