package cassiaspindle.daemon.relay.request

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException

/** Time without data after which the request is checked for a stall, in milliseconds. */
private const val STALL_CHECK_INTERVAL_MILLISECONDS = 400L

/** The request waits for the lost runner at [faultyAddress]. */
internal class StalledException(val faultyAddress: String) : IOException("the request waits for $faultyAddress")

/**
 * Waits for data from a backend server.
 *
 * After some time without data, [findLostRunner] returns the lost runner that the request waits for, or null. The wait
 * fails if there is such a runner, after [silenceTimeoutMilliseconds] without data, or once [remainingMilliseconds]
 * returns no more time.
 */
internal class StallAwareReader(
    private val silenceTimeoutMilliseconds: Long,
    private val remainingMilliseconds: () -> Long,
    private val findLostRunner: suspend () -> String?,
) {
    /** Returns the value of [read]; throws [StalledException] or another [IOException] if the wait fails. */
    suspend fun <Value> await(read: suspend () -> Value): Value = coroutineScope {
        val pending = async { runCatching { read() } }
        try {
            awaitRetryable { pending.await() }.getOrThrow()
        } finally {
            pending.cancel()
        }
    }

    /** Like [await], for a [read] that consumes nothing before it has a value, so that it can be retried. */
    suspend fun <Value> awaitRetryable(read: suspend () -> Value): Value {
        var waitedMilliseconds = 0L
        var result = readOnce(read)
        while (result == null) {
            waitedMilliseconds += STALL_CHECK_INTERVAL_MILLISECONDS
            failureAfter(waitedMilliseconds)?.let { throw it }
            result = readOnce(read)
        }
        return result.value
    }

    /** The reason why the wait fails after [waitedMilliseconds], or null if it continues. */
    private suspend fun failureAfter(waitedMilliseconds: Long): IOException? =
        if (remainingMilliseconds() <= 0) {
            IOException("the request deadline has passed")
        } else {
            findLostRunner()?.let(::StalledException)
                ?: IOException("no data within $silenceTimeoutMilliseconds ms")
                    .takeIf { waitedMilliseconds >= silenceTimeoutMilliseconds }
        }

    /** A value that arrives just as the time limit passes is not lost. */
    private suspend fun <Value> readOnce(read: suspend () -> Value): Completed<Value>? {
        var completed: Completed<Value>? = null
        withTimeoutOrNull(checkIntervalMilliseconds()) { completed = Completed(read()) }
        return completed
    }

    private class Completed<Value>(val value: Value)

    private fun checkIntervalMilliseconds() =
        minOf(STALL_CHECK_INTERVAL_MILLISECONDS, maxOf(1, remainingMilliseconds()))
}
