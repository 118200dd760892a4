package cassiaspindle.daemon.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.protocol.CallerProtocol
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall
import cassiaspindle.transport.relay.ResponseHead
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Answers discovery requests with the addresses of entry VMs. */
internal class DiscoveryHandler(
    private val protocol: CallerProtocol,
    private val state: FleetState,
    private val lifetimeMilliseconds: Long,
) {
    /** Handles one request. */
    suspend fun serve(call: RelayCall) {
        protocol.readDiscovery(call.head)
            .onSuccess { zone -> answer(call, zone) }
            .onFailure { call.answer(ErrorResponse(it.code, id = null), protocol, emptyList()) }
    }

    private suspend fun answer(call: RelayCall, zone: String?) {
        val addresses = state.entries.addresses(zone)
        if (addresses.isEmpty()) {
            call.answer(ErrorResponse(ResultCode.ENTRY_CUT_OFF, id = null), protocol, emptyList())
        } else {
            val body = protocol.writeDiscovery(addresses, lifetimeMilliseconds).encodeToByteArray()
            val status = statusOf(ResultCode.OK)
            call.respond(ResponseHead(status.value, status.description, JSON), body)
        }
    }

    private companion object {
        val JSON = listOf(Header("Content-Type", "application/json"))
    }
}
