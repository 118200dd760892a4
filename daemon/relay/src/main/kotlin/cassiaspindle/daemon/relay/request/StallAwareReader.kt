package cassiaspindle.daemon.relay.request

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException

/** Silence after which it is asked whether a request waits for a lost runner, in milliseconds. */
private const val QUIET_MILLISECONDS = 400L

/** A request waits for the runner at [faultyAddress], which is lost. */
internal class StalledException(val faultyAddress: String) : IOException("the request waits for $faultyAddress")

/**
 * Waits for what a backend server sends.
 *
 * After some silence [stalledAt] is asked for the runner that the request waits for; where it names one, at the latest
 * after [longestMilliseconds], and where [remainingMilliseconds] tells that the time of the request is over, the
 * wait ends.
 */
internal class StallAwareReader(
    private val longestMilliseconds: Long,
    private val remainingMilliseconds: () -> Long,
    private val stalledAt: suspend () -> String?,
) {
    /** The value of [read]; throws [StalledException] or another [IOException] where it does not come. */
    suspend fun <Value> forValue(read: suspend () -> Value): Value = coroutineScope {
        val reading = async { runCatching { read() } }
        try {
            forNext { reading.await() }.getOrThrow()
        } finally {
            reading.cancel()
        }
    }

    /** The same for a [read] that takes nothing before it has a value, so that it may be broken off and begun again. */
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

    /** Why a wait of [waited] milliseconds ends here, or null where it goes on. */
    private suspend fun endOf(waited: Long): IOException? =
        if (remainingMilliseconds() <= 0) {
            IOException("the time of the request is over")
        } else {
            stalledAt()?.let(::StalledException)
                ?: IOException("nothing within $longestMilliseconds ms").takeIf { waited >= longestMilliseconds }
        }

    /** A value that comes just when the time is over is not lost. */
    private suspend fun <Value> readQuietly(read: suspend () -> Value): Taken<Value>? {
        var taken: Taken<Value>? = null
        withTimeoutOrNull(quiet()) { taken = Taken(read()) }
        return taken
    }

    private class Taken<Value>(val value: Value)

    private fun quiet() = minOf(QUIET_MILLISECONDS, maxOf(1, remainingMilliseconds()))
}
