package cassiaspindle.transport.relay

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.transport.peer.HostAndPort
import io.ktor.http.cio.ParserException
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicLong

private const val SHARDS = 8
private const val DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 500L

/** Share of a backend server's idle timeout within which an idle connection is reused, in percent. */
private const val USABLE_PERCENT = 60L
private const val PERCENT = 100L

/** Maximum size of the response to a report request or an order, in bytes. */
private const val MAXIMUM_RESPONSE_BYTES = 1024 * 1024

/** How an exchange on a new connection has ended. */
sealed interface ExchangeResult {
    /** The whole response was received. */
    class Answered(val response: BufferedResponse) : ExchangeResult

    /** No connection was made, so that nothing was sent. */
    data object NotConnected : ExchangeResult

    /** The connection failed, or no valid response arrived in time; the request may have been received. */
    data object Failed : ExchangeResult
}

/** Pool of idle connections to backend servers, sharded by address. */
class RunnerConnectionPool(
    private val selector: SelectorManager,
    /** Limits the bytes of all responses that are held in memory. */
    val bufferBudget: BufferBudget,
    private val now: () -> Long,
    private val connectTimeoutMilliseconds: Long = DEFAULT_CONNECT_TIMEOUT_MILLISECONDS,
) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, ArrayDeque<IdleConnection>>() }
    private val openedCount = AtomicLong()

    /** Number of connections opened so far. */
    val openedTotal: Long get() = openedCount.get()

    /** Takes an idle connection to [address] from the pool; returns null if there is none. */
    fun acquireIdle(address: String): RunnerConnection? {
        var newest = takeNewest(address)
        while (newest != null && !newest.isUsable(now())) {
            newest.connection.close()
            newest = takeNewest(address)
        }
        return newest?.connection
    }

    /** Opens a connection to [address]; throws [IOException] if that fails or times out or the address is invalid. */
    suspend fun open(address: String): RunnerConnection {
        val socket = withTimeoutOrNull(connectTimeoutMilliseconds) { connect(address) }
            ?: throw IOException("connecting to $address took longer than $connectTimeoutMilliseconds ms")
        openedCount.incrementAndGet()
        return RunnerConnection(socket, selector, address)
    }

    private suspend fun connect(address: String): Socket = try {
        val target = HostAndPort.parse(address)
        aSocket(selector).tcp().connect(target.host, target.port) { noDelay = true }
    } catch (problem: IllegalArgumentException) {
        throw IOException("invalid address $address", problem)
    }

    /** Returns [connection] to the pool; the backend server closes it after [idleTimeoutMilliseconds] of idle time. */
    fun release(connection: RunnerConnection, idleTimeoutMilliseconds: Long) {
        val usableMilliseconds = idleTimeoutMilliseconds * USABLE_PERCENT / PERCENT
        shards.withKey(connection.address) { idle ->
            idle.getOrPut(connection.address) { ArrayDeque() }
                .addLast(IdleConnection(connection, now() + usableMilliseconds))
        }
    }

    /** Sends [request] on a new connection; returns null if it fails or takes longer than [timeoutMilliseconds]. */
    suspend fun exchangeOnNewConnection(
        address: String,
        request: BufferedRequest,
        timeoutMilliseconds: Long,
    ): BufferedResponse? {
        val result = tryExchange(address, request, timeoutMilliseconds, MAXIMUM_RESPONSE_BYTES)
        return (result as? ExchangeResult.Answered)?.response
    }

    /**
     * Sends [request] on a new connection, and waits [timeoutMilliseconds] at most for a response whose body has
     * [maximumResponseBytes] at most.
     */
    suspend fun tryExchange(
        address: String,
        request: BufferedRequest,
        timeoutMilliseconds: Long,
        maximumResponseBytes: Int,
    ): ExchangeResult = withTimeoutOrNull(timeoutMilliseconds) {
        val connection = openOrNull(address)
        if (connection == null) {
            ExchangeResult.NotConnected
        } else {
            runCatchingProtocolErrors { exchange(connection, request, maximumResponseBytes) }
                ?.let(ExchangeResult::Answered)
        }
    } ?: ExchangeResult.Failed

    /**
     * Whether [address] accepts a connection and does anything but stay silent for [timeoutMilliseconds] after
     * [request]: one that breaks the protocol is there.
     */
    suspend fun isReachable(address: String, request: BufferedRequest, timeoutMilliseconds: Long): Boolean =
        withTimeoutOrNull(timeoutMilliseconds) {
            val connection = openOrNull(address)
            connection?.let { runCatchingProtocolErrors { exchange(it, request, MAXIMUM_RESPONSE_BYTES) } }
            connection != null
        } ?: false

    private suspend fun openOrNull(address: String): RunnerConnection? = runCatchingProtocolErrors { open(address) }

    private suspend fun exchange(
        connection: RunnerConnection,
        request: BufferedRequest,
        maximumResponseBytes: Int,
    ): BufferedResponse = coroutineScope {
        try {
            connection.send(request, scope = this)
            bufferBudget.newReservation().use {
                val head = connection.readHead()
                val body = connection.readWholeBody(maximumResponseBytes, it)
                BufferedResponse(head, body, connection.isDelimited)
            }
        } finally {
            connection.close()
            coroutineContext.cancelChildren()
        }
    }

    private fun takeNewest(address: String): IdleConnection? =
        shards.withKey(address) { idle -> idle[address]?.removeLastOrNull() }

    private data class IdleConnection(val connection: RunnerConnection, val usableUntilMilliseconds: Long) {
        /** Reads the socket, so that it is called without the lock. */
        fun isUsable(nowMilliseconds: Long): Boolean =
            usableUntilMilliseconds > nowMilliseconds && !connection.isStale
    }
}

/** The value of [action], or null if it fails as an exchange does. */
private suspend fun <Value> runCatchingProtocolErrors(action: suspend () -> Value): Value? = try {
    action()
} catch (problem: IOException) {
    Logger.debug { "event=exchange_failed reason=${problem.javaClass.simpleName}" }
    null
} catch (problem: ParserException) {
    Logger.debug { "event=exchange_failed reason=${problem.javaClass.simpleName}" }
    null
}
