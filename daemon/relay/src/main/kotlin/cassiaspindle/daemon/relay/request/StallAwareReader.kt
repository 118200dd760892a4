package cassiaspindle.daemon.relay.request

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException

/** Time without data after which the request is checked for a stall, in milliseconds. */
private const val QUIET_MILLISECONDS = 400L

/** The request waits for the lost runner at [faultyAddress]. */
internal class StalledException(val faultyAddress: String) : IOException("the request waits for $faultyAddress")

/**
 * Waits for data from a backend server.
 *
 * After some time without data, [stalledAt] returns the lost runner that the request waits for, or null. The wait fails
 * if there is such a runner, after [longestMilliseconds] without data, or once [remainingMilliseconds] returns no more
 * time.
 */
internal class StallAwareReader(
    private val longestMilliseconds: Long,
    private val remainingMilliseconds: () -> Long,
    private val stalledAt: suspend () -> String?,
) {
    /** Returns the value of [read]; throws [StalledException] or another [IOException] if the wait fails. */
    suspend fun <Value> forValue(read: suspend () -> Value): Value = coroutineScope {
        val reading = async { runCatching { read() } }
        try {
            forNext { reading.await() }.getOrThrow()
        } finally {
            reading.cancel()
        }
    }

    /** Like [forValue], for a [read] that consumes nothing before it has a value, so that it can be retried. */
    suspend fun <Value> forNext(read: suspend () -> Value): Value {
        var waited = 0L
        var result = readQuietly(read)
        while (result == null) {
            waited += QUIET_MILLISECONDS
            endOf(waited)?.let { throw it }
            result = readQuietly(read)
        }
        return result.value
    }

    /** The reason why the wait fails after [waited] milliseconds, or null if it continues. */
    private suspend fun endOf(waited: Long): IOException? =
        if (remainingMilliseconds() <= 0) {
            IOException("the request deadline has passed")
        } else {
            stalledAt()?.let(::StalledException)
                ?: IOException("no data within $longestMilliseconds ms").takeIf { waited >= longestMilliseconds }
        }

    /** A value that arrives just as the time limit passes is not lost. */
    private suspend fun <Value> readQuietly(read: suspend () -> Value): Taken<Value>? {
        var taken: Taken<Value>? = null
        withTimeoutOrNull(quiet()) { taken = Taken(read()) }
        return taken
    }

    private class Taken<Value>(val value: Value)

    private fun quiet() = minOf(QUIET_MILLISECONDS, maxOf(1, remainingMilliseconds()))
}
