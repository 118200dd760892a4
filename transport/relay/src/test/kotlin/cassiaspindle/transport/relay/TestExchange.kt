package cassiaspindle.transport.relay

import cassiaspindle.core.time.Clock
import cassiaspindle.transport.peer.newSelector
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking

private const val BUFFER_BYTES = 64L * 1024 * 1024
private const val TIMEOUT_MILLISECONDS = 5_000L

/** Exchanges messages with runners under test, each on a connection of its own. */
internal class TestExchange : AutoCloseable {
    private val selector = newSelector()
    private val pool = RunnerConnectionPool(selector, BufferBudget(BUFFER_BYTES), Clock.system.monotonicMilliseconds)

    override fun close() = selector.close()

    /** Sends a request with [uploadBytes] to a runner that behaves as [script] states; null if there is no response. */
    fun responseTo(script: RunnerScript, uploadBytes: Int = 0): BufferedResponse? = RawRunner(script).use { runner ->
        val headers = listOf(Header("Host", runner.address), Header("Content-Length", uploadBytes.toString()))
        val request = BufferedRequest(RequestHead("POST", "/", headers), ByteArray(uploadBytes))
        runBlocking(Dispatchers.Default) {
            pool.exchangeOnNewConnection(runner.address, request, TIMEOUT_MILLISECONDS)
        }
    }
}
