package cassiaspindle.daemon.relay.request

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException

/** Time without progress after which the request is checked for a stall, in milliseconds. */
private const val STALL_CHECK_INTERVAL_MILLISECONDS = 400L

/** The request waits for the lost runner at [faultyAddress]. */
internal class StalledException(val faultyAddress: String) : IOException("the request waits for $faultyAddress")

/** The backend server made no progress in time; its connection may be intact. */
internal class SilenceException(message: String) : IOException(message)

/**
 * Waits for progress of a backend server.
 *
 * After some time without progress, [findLostRunner] returns the lost runner that the request waits for, or null. The
 * wait fails if there is such a runner, after [silenceTimeoutMilliseconds] without progress, or once
 * [remainingMilliseconds] returns no more time.
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
    suspend fun <Value> awaitRetryable(read: suspend () -> Value): Value = ProgressWait().await(read)

    /** Time until a wait that begins now must be looked at, in milliseconds. */
    fun millisecondsToNextWait(): Long =
        remainingMilliseconds().takeIf { it > 0 }?.coerceAtMost(STALL_CHECK_INTERVAL_MILLISECONDS)
            ?: STALL_CHECK_INTERVAL_MILLISECONDS

    /** A wait for one step of progress, such as a whole event, for which several reads may be necessary. */
    inner class ProgressWait {
        private val startRemainingMilliseconds = remainingMilliseconds()
        private var nextCheckMilliseconds = STALL_CHECK_INTERVAL_MILLISECONDS

        private val waitedMilliseconds: Long get() = startRemainingMilliseconds - remainingMilliseconds()

        /** Time until the next check is due, in milliseconds; not positive if it is. */
        val millisecondsToCheck: Long
            get() = minOf(nextCheckMilliseconds - waitedMilliseconds, remainingMilliseconds())

        /** Checks the request; returns the reason why the wait fails, or null if it continues. */
        suspend fun check(): IOException? {
            val failure = failureAfter(waitedMilliseconds)
            nextCheckMilliseconds = waitedMilliseconds + STALL_CHECK_INTERVAL_MILLISECONDS
            return failure
        }

        /** Returns the value of [read], like [awaitRetryable]. */
        suspend fun <Value> await(read: suspend () -> Value): Value {
            var result = readUntilCheck(read)
            while (result == null) {
                check()?.let { throw it }
                result = readUntilCheck(read)
            }
            return result.value
        }

        private suspend fun <Value> readUntilCheck(read: suspend () -> Value): Completed<Value>? {
            val timeLeft = millisecondsToCheck
            return if (timeLeft > 0) readOnce(timeLeft, read) else null
        }
    }

    /** The reason why the wait fails after [waitedMilliseconds], or null if it continues. */
    private suspend fun failureAfter(waitedMilliseconds: Long): IOException? =
        if (remainingMilliseconds() <= 0) {
            SilenceException("the request deadline has passed")
        } else {
            findLostRunner()?.let(::StalledException)
                ?: SilenceException("no progress within $silenceTimeoutMilliseconds ms")
                    .takeIf { waitedMilliseconds >= silenceTimeoutMilliseconds }
        }

    /** A value that arrives just as the time limit passes is not lost. */
    private suspend fun <Value> readOnce(timeoutMilliseconds: Long, read: suspend () -> Value): Completed<Value>? {
        var completed: Completed<Value>? = null
        withTimeoutOrNull(timeoutMilliseconds) { completed = Completed(read()) }
        return completed
    }

    private class Completed<Value>(val value: Value)
}
