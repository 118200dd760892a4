package cassiaspindle.transport.peer

import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicBoolean

/** Intervals without a received frame after which a connection counts as silent. */
private const val SILENT_INTERVALS = 3

/** Whether frames are sent and received on a connection; checked at intervals, not with a timer for each frame. */
internal class ConnectionActivity(private val intervalMilliseconds: Long) {
    private val hasSent = AtomicBoolean()
    private val hasReceived = AtomicBoolean()

    /** Records that a frame was sent. */
    fun recordSent() = hasSent.set(true)

    /** Records that a frame was received. */
    fun recordReceived() = hasReceived.set(true)

    /** Waits until the connection is silent; calls [onIdle] after each interval in which no frame was sent. */
    suspend fun awaitSilence(onIdle: () -> Unit) {
        var silentIntervals = 0
        while (silentIntervals < SILENT_INTERVALS) {
            delay(intervalMilliseconds)
            if (!hasSent.getAndSet(false)) onIdle()
            silentIntervals = if (hasReceived.getAndSet(false)) 0 else silentIntervals + 1
        }
    }
}
