package cassiaspindle.daemon.relay.request

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.io.IOException

/**
 * Applies the checks of [reader] to the waits of one stream, with one timer for the stream instead of one for each
 * read.
 *
 * A wait that fails calls [interrupt], which must end the read at hand. As a wait does not end while it is checked,
 * what a check changes, such as the chain of the request, is not used meanwhile.
 */
internal class StreamWatchdog(
    private val reader: StallAwareReader,
    private val scope: CoroutineScope,
    private val interrupt: () -> Unit,
) {
    private val lock = Mutex()
    private var currentWait: StallAwareReader.ProgressWait? = null
    private var failure: IOException? = null
    private var watch: Job? = null

    /** Returns the value of [progress]; throws [StalledException] or another [IOException] if the wait for it fails. */
    suspend fun <Value> await(progress: suspend () -> Value): Value {
        begin()
        val value = try {
            progress()
        } catch (problem: IOException) {
            throw end() ?: problem
        }
        end()?.let { throw it }
        return value
    }

    private suspend fun begin() {
        lock.withLock {
            val wait = reader.ProgressWait()
            if (wait.millisecondsToCheck <= 0) wait.check()?.let { throw it }
            currentWait = wait
        }
        if (watch == null) watch = scope.launch { watch() }
    }

    /** Ends the wait; returns the reason why it failed, or null. */
    private suspend fun end(): IOException? = lock.withLock {
        currentWait = null
        failure
    }

    private suspend fun watch() {
        var pause = lock.withLock { checkWait() }
        while (pause != null) {
            delay(pause)
            pause = lock.withLock { checkWait() }
        }
    }

    /** Returns the time until the next check in milliseconds, or null if the stream has failed. */
    private suspend fun checkWait(): Long? {
        val wait = currentWait ?: return reader.millisecondsToNextWait()
        if (wait.millisecondsToCheck <= 0) failure = wait.check()
        if (failure != null) interrupt()
        return if (failure == null) maxOf(1, wait.millisecondsToCheck) else null
    }
}
