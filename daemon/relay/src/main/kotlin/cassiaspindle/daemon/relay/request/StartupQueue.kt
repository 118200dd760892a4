package cassiaspindle.daemon.relay.request

import cassiaspindle.relay.request.startupWaitMilliseconds
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger

/** Maximum number of requests that wait; further ones are refused at once. */
private const val CAPACITY_REQUESTS = 256

/**
 * Requests that came after the start of the process and before its first configuration, which is certain to come soon
 * once a control leader is elected.
 */
internal class StartupQueue(
    private val hasConfiguration: () -> Boolean,
    private val awaitConfiguration: suspend () -> Unit,
) {
    private val waiting = AtomicInteger()

    /** Waits for the configuration as long as a request with [deadlineMilliseconds] can, if there is none yet. */
    suspend fun await(deadlineMilliseconds: Long?) {
        if (hasConfiguration()) return
        try {
            if (waiting.incrementAndGet() <= CAPACITY_REQUESTS) {
                withTimeoutOrNull(startupWaitMilliseconds(deadlineMilliseconds)) { awaitConfiguration() }
            }
        } finally {
            waiting.decrementAndGet()
        }
    }
}
