package cassiaspindle.transport.peer

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** System property for the number of coroutine threads that read and write sockets. */
private const val SOCKET_THREADS_PROPERTY = "kotlinx.coroutines.io.parallelism"
private const val MINIMUM_SOCKET_THREADS = 2
private const val SELECTOR_IDLE_SECONDS = 1L

/**
 * Limits the threads that read and write sockets to the number of processors, but at least two.
 *
 * Reads and writes never block, so more threads would only compete for processors. Call it before any socket is opened.
 */
fun limitSocketThreads() {
    val threads = maxOf(MINIMUM_SOCKET_THREADS, Runtime.getRuntime().availableProcessors())
    System.setProperty(SOCKET_THREADS_PROPERTY, threads.toString())
}

/** Creates the selector for all sockets of a process; its thread ends after the selector is closed. */
fun newSelector(): SelectorManager {
    val thread = ThreadPoolExecutor(0, 1, SELECTOR_IDLE_SECONDS, TimeUnit.SECONDS, LinkedBlockingQueue()) { task ->
        Thread(task, "socket-selector").apply { isDaemon = true }
    }
    return SelectorManager(thread.asCoroutineDispatcher())
}
