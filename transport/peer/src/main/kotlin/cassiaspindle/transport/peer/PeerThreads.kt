package cassiaspindle.transport.peer

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import java.util.concurrent.Executors

/** One of them waits for sockets all the time. */
private const val THREADS = 3

/**
 * The threads that carry all peer connections of a process.
 *
 * Peer traffic is many small frames. On a shared pool each of them wakes another worker, which costs more than the frame.
 */
class PeerThreads : AutoCloseable {
    private val dispatcher: ExecutorCoroutineDispatcher = Executors.newFixedThreadPool(THREADS) { task ->
        Thread(task, "peer").apply { isDaemon = true }
    }.asCoroutineDispatcher()

    /** Where connections run. */
    val scope = CoroutineScope(SupervisorJob() + dispatcher)

    /** What waits for sockets. */
    val selector = SelectorManager(dispatcher)

    override fun close() {
        scope.cancel()
        selector.close()
        dispatcher.close()
    }
}
