package cassiaspindle.daemon.relay.request

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicBoolean

/** Interval at which waiting requests are checked, in milliseconds: other entry VMs free capacity as well. */
private const val CHECK_INTERVAL_MILLISECONDS = 50L

/** Runs [check] at intervals in [scope], only while [isNeeded]. */
internal class WaitTimer(
    private val scope: CoroutineScope,
    private val isNeeded: () -> Boolean,
    private val check: () -> Unit,
) {
    private val isRunning = AtomicBoolean()

    /** Starts the timer unless it runs. */
    fun start() {
        if (isRunning.compareAndSet(false, true)) scope.launch { run() }
    }

    private suspend fun run() {
        while (isNeeded()) {
            delay(CHECK_INTERVAL_MILLISECONDS)
            check()
        }
        isRunning.set(false)
        if (isNeeded()) start()
    }
}
