package cassiaspindle.daemon.relay.request

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException

/** Silence after which it is asked whether a request waits for a lost runner, in milliseconds. */
private const val QUIET_MILLISECONDS = 400L

/** A request waits for the runner at [faultAt], which is lost. */
internal class StalledException(val faultAt: String) : IOException("the request waits for $faultAt")

/**
 * Waits for what a backend server sends.
 *
 * After some silence [stalledAt] is asked for the runner that the request waits for; where it names one, at the latest
 * after [longestMilliseconds], and where [leftMilliseconds] tells that the time of the request is over, the wait ends.
 */
internal class PatientWait(
    private val longestMilliseconds: Long,
    private val leftMilliseconds: () -> Long,
    private val stalledAt: suspend () -> String?,
) {
    /** The value of [read]; throws [StalledException] or another [IOException] where it does not come. */
    suspend fun <Value> forValue(read: suspend () -> Value): Value = coroutineScope {
        val reading = async { runCatching { read() } }
        try {
            var waited = 0L
            var result = withTimeoutOrNull(quiet()) { reading.await() }
            while (result == null) {
                waited += QUIET_MILLISECONDS
                if (leftMilliseconds() <= 0) throw IOException("the time of the request is over")
                stalledAt()?.let { throw StalledException(it) }
                if (waited >= longestMilliseconds) throw IOException("nothing within $longestMilliseconds ms")
                result = withTimeoutOrNull(quiet()) { reading.await() }
            }
            result.getOrThrow()
        } finally {
            reading.cancel()
        }
    }

    private fun quiet() = minOf(QUIET_MILLISECONDS, maxOf(1, leftMilliseconds()))
}
