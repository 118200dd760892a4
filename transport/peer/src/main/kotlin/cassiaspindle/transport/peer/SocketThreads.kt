package cassiaspindle.transport.peer

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Kotlin's property for the number of threads that read and write sockets. */
private const val SOCKET_THREADS_PROPERTY = "kotlinx.coroutines.io.parallelism"
private const val FEWEST_SOCKET_THREADS = 2
private const val IDLE_SECONDS = 1L

/**
 * Lets no more threads read and write sockets than there are processors, two at least.
 *
 * Reads and writes never wait, so that further threads only take turns. To be called before any socket is opened.
 */
fun limitSocketThreads() {
    val threads = maxOf(FEWEST_SOCKET_THREADS, Runtime.getRuntime().availableProcessors())
    System.setProperty(SOCKET_THREADS_PROPERTY, threads.toString())
}

/** A selector for all sockets of a process; it waits on a thread of its own, which ends after it is closed. */
fun newSelector(): SelectorManager {
    val thread = ThreadPoolExecutor(0, 1, IDLE_SECONDS, TimeUnit.SECONDS, LinkedBlockingQueue()) { task ->
        Thread(task, "socket-selector").apply { isDaemon = true }
    }
    return SelectorManager(thread.asCoroutineDispatcher())
}
