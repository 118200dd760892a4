package cassiaspindle.transport.http

import cassiaspindle.core.time.Clock
import cassiaspindle.entry.request.CallOutcome
import cassiaspindle.schema.ApplicationCall
import cassiaspindle.transport.http.client.PlainServiceClient
import cassiaspindle.transport.peer.newSelector
import cassiaspindle.transport.relay.BufferBudget

private const val BUFFER_BYTES = 1_000_000L
private const val TIMEOUT_MILLISECONDS = 5_000L

/** Calls plain services that respond with raw bytes. */
internal class TestPlainServiceClient : AutoCloseable {
    private val selector = newSelector()
    private val client = PlainServiceClient(selector, BufferBudget(BUFFER_BYTES), Clock.system.monotonicMilliseconds)

    override fun close() = selector.close()

    /** The outcome of a call with the id r1 to a service that responds with [response]. */
    fun outcomeOf(response: String): CallOutcome = withRawService(response) { address ->
        client.call(address, ApplicationCall(requestId = "r1", call = "call", body = "in"), TIMEOUT_MILLISECONDS)
    }
}
