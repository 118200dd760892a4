package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.protocol.BackEndCallContext
import cassiaspindle.daemon.relay.protocol.BackEndProtocol
import cassiaspindle.daemon.relay.protocol.BackEndResponseHead
import cassiaspindle.daemon.relay.protocol.CallerRequest
import cassiaspindle.relay.placement.OrderResult
import cassiaspindle.relay.request.AttemptFailure
import cassiaspindle.relay.route.LayerChain
import cassiaspindle.transport.relay.BufferedRequest
import cassiaspindle.transport.relay.RunnerConnection
import cassiaspindle.transport.relay.RunnerConnectionPool
import io.ktor.http.cio.ParserException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import java.net.ConnectException

/** Maximum size of an answer that is read into memory, in bytes. */
private const val MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024

/** Added to the runners' own stall timeout to get the silence after which an answer counts as broken. */
private const val SILENCE_MARGIN_MILLISECONDS = 500L

/** Time limit for a runner to accept a reroute order, in milliseconds. */
private const val REROUTE_MILLISECONDS = 400L

/** The input of one attempt. */
internal data class AttemptRequest(
    val request: CallerRequest,
    val body: ByteArray,
    val call: BackEndCallContext,
    /** Host and port of the backend server. */
    val address: String,
    /** Time for which a plain service may send nothing, in milliseconds. */
    val patienceMilliseconds: Long,
    /** Reroutes the request around the runner that it waits for; returns false if that fails. */
    val goOnWithout: suspend (address: String) -> Boolean,
) {
    override fun equals(other: Any?): Boolean = this === other

    override fun hashCode(): Int = System.identityHashCode(this)
}

/** The result of an attempt, or a stream that has started. */
internal sealed interface AttemptResult {
    /** A complete answer. */
    class Whole(val answer: BackEndResponseHead, val body: ByteArray) : AttemptResult

    /** A stream whose first event has arrived. */
    class Streaming(val open: EventStreamReader) : AttemptResult

    /** A failure; [answer] is the answer of the backend server, if it sent a complete one. */
    class Failed(
        val failure: AttemptFailure,
        val reason: String,
        val faultyAddress: String?,
        val answer: Whole? = null,
        /** Whether a runner reported that the request waits for the one at [faultyAddress]. */
        val isStalled: Boolean = false,
        /** Whether [faultyAddress] refused the connection. */
        val isRefused: Boolean = false,
    ) : AttemptResult
}

/** Sends requests to backend servers and reads the start of their answers. */
internal class AttemptExecutor(
    private val connections: RunnerConnectionPool,
    private val protocol: BackEndProtocol,
    private val stalls: StallDetector,
    private val stallMilliseconds: Long,
    private val now: () -> Long,
) {
    /**
     * Makes one attempt and passes its result to [use]. The connection is kept or closed afterwards; it is closed if
     * the caller disconnects.
     */
    suspend fun <Result> attempt(sending: AttemptRequest, use: suspend (AttemptResult) -> Result): Result {
        var connection: RunnerConnection? = null
        var keep: Long? = null
        try {
            val attempt = try {
                val opened = connections.acquireIdle(sending.address) ?: connections.open(sending.address)
                connection = opened
                exchange(opened, sending)
            } catch (problem: IOException) {
                notSent(sending, problem)
            }
            val result = use(attempt)
            keep = connection?.takeIf { it.isReusable }?.let { keepTime(attempt) }
            return result
        } finally {
            val idle = keep
            if (idle != null) connection?.let { connections.release(it, idle) } else connection?.close()
        }
    }

    private suspend fun exchange(connection: RunnerConnection, sending: AttemptRequest): AttemptResult = try {
        val request: BufferedRequest = protocol.writeRequest(sending.request, sending.call, sending.body)
        withTimeoutOrNull(sending.call.remainingMilliseconds) {
            connection.send(request)
            receive(connection, sending)
        } ?: AttemptResult.Failed(AttemptFailure.Interrupted, reason = "no_answer_in_time", faultyAddress = null)
    } catch (problem: StalledException) {
        AttemptResult.Failed(AttemptFailure.Interrupted, reason = "stalled", problem.faultyAddress, isStalled = true)
    } catch (problem: IOException) {
        broken(sending, "connection_broke:${problem.javaClass.simpleName}")
    } catch (problem: ParserException) {
        broken(sending, "no_http_answer:${problem.javaClass.simpleName}")
    }

    private suspend fun receive(connection: RunnerConnection, sending: AttemptRequest): AttemptResult {
        val wait = waitFor(sending)
        val answer = protocol.readResponseHead(wait.forValue { connection.readHead() })
        return when {
            answer.requestId != null && answer.requestId != sending.request.id -> broken(sending, "foreign_answer")
            answer.requestId == null && !connection.isFirstExchange -> broken(sending, "answer_for_no_request")
            answer.isSuccess && !answer.isTrustworthy -> broken(sending, "unsigned_success")
            answer.isSuccess && answer.isEventStream ->
                startStream(EventStreamReader(answer, connection, wait), sending)
            else -> readWhole(connection, answer, sending)
        }
    }

    private suspend fun startStream(open: EventStreamReader, sending: AttemptRequest): AttemptResult =
        if (open.awaitEvent()) AttemptResult.Streaming(open) else broken(sending, "stream_without_events")

    /** Only in a chain can the request wait for a runner other than the one that it was sent to. */
    private fun waitFor(sending: AttemptRequest): StallAwareReader {
        val end = now() + sending.call.remainingMilliseconds
        return if (sending.call.chain == null) {
            StallAwareReader(sending.patienceMilliseconds, { end - now() }, stalledAt = { null })
        } else {
            StallAwareReader(stallMilliseconds + SILENCE_MARGIN_MILLISECONDS, { end - now() }) {
                stalls.stalledAt(sending.address, sending.request.id)?.takeUnless { sending.goOnWithout(it) }
            }
        }
    }

    /** Orders the first runner of [chain] to reroute the request [id] over it; returns false if the runner refuses. */
    suspend fun reroute(id: String, chain: LayerChain): Boolean {
        val order = protocol.writeReroute(id, chain)
        val answer = connections.exchangeOnNewConnection(chain.first.address, order, REROUTE_MILLISECONDS)
        return answer?.let { protocol.readOrderResult(it.head) } in setOf(OrderResult.ACCEPTED, OrderResult.DONE)
    }

    private suspend fun readWhole(
        connection: RunnerConnection,
        answer: BackEndResponseHead,
        sending: AttemptRequest,
    ): AttemptResult {
        val whole = AttemptResult.Whole(answer, connection.readWholeBody(MAXIMUM_ANSWER_BYTES))
        return when {
            answer.isSuccess -> whole
            answer.isNotRun -> failedAs(AttemptFailure.NotRun, whole, sending)
            else -> failedAs(AttemptFailure.Interrupted, whole, sending)
        }
    }

    private fun keepTime(attempt: AttemptResult): Long? {
        val answer = when (attempt) {
            is AttemptResult.Whole -> attempt.answer
            is AttemptResult.Streaming -> attempt.open.answer
            is AttemptResult.Failed -> attempt.answer?.answer
        }
        return answer
            ?.takeUnless { it.closesConnection }
            ?.let { it.idleTimeoutMilliseconds ?: DEFAULT_IDLE_MILLISECONDS }
    }

    private companion object {
        /** Idle timeout of a connection if the backend server states none, in milliseconds. */
        const val DEFAULT_IDLE_MILLISECONDS = 3_000L
    }
}

private fun notSent(sending: AttemptRequest, problem: IOException) = AttemptResult.Failed(
    AttemptFailure.NotSent,
    reason = "no_connection:${problem.javaClass.simpleName}",
    faultyAddress = sending.address,
    isRefused = problem is ConnectException,
)

private fun broken(sending: AttemptRequest, reason: String) =
    AttemptResult.Failed(AttemptFailure.Interrupted, reason, faultyAddress = sending.address)

private fun failedAs(
    failure: AttemptFailure,
    whole: AttemptResult.Whole,
    sending: AttemptRequest,
): AttemptResult.Failed {
    val faultyAddress = whole.answer.faultyAddress ?: sending.address.takeIf { whole.answer.isNotRun }
    return AttemptResult.Failed(failure, reason = "status_${whole.answer.status}", faultyAddress, whole)
}
