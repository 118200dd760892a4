package cassiaspindle.daemon.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.protocol.CallerProtocol
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall
import cassiaspindle.transport.relay.ResponseHead
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Responds to discovery requests with the addresses of entry VMs. */
internal class DiscoveryHandler(
    private val protocol: CallerProtocol,
    private val fleetState: FleetState,
    private val lifetimeMilliseconds: Long,
) {
    /** Handles one request. */
    suspend fun handle(call: RelayCall) {
        protocol.readDiscovery(call.head)
            .onSuccess { zone -> respond(call, zone) }
            .onFailure { call.respondError(ErrorResponse(it.code, requestId = null), protocol, emptyList()) }
    }

    private suspend fun respond(call: RelayCall, zone: String?) {
        val addresses = fleetState.entries.addresses(zone)
        if (addresses.isEmpty()) {
            call.respondError(ErrorResponse(ResultCode.ENTRY_CUT_OFF, requestId = null), protocol, emptyList())
        } else {
            val body = protocol.writeDiscovery(addresses, lifetimeMilliseconds).encodeToByteArray()
            val status = statusOf(ResultCode.OK)
            call.respond(ResponseHead(status.value, status.description, JSON_HEADERS), body)
        }
    }

    private companion object {
        val JSON_HEADERS = listOf(Header("Content-Type", "application/json"))
    }
}
