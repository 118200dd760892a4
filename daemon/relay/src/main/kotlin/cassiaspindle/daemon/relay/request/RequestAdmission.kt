package cassiaspindle.daemon.relay.request

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.identity.Digest
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.protocol.CallerRequest
import cassiaspindle.relay.configuration.ActiveConfiguration
import cassiaspindle.relay.configuration.RouteTable
import cassiaspindle.schema.RelayAccount
import cassiaspindle.schema.RelayLimits
import cassiaspindle.schema.RelayRoute
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** A request that the configuration allows, with its route, service and client account. */
internal data class AdmittedRequest(
    val request: CallerRequest,
    val table: RouteTable,
    val route: RelayRoute,
    val service: String,
    /** The client account, or null for an anonymous request. */
    val account: RelayAccount?,
) {
    /** The priority of the client account if it has one, else that of the route; 0 is the highest. */
    val priority: Int get() = account?.priority ?: route.priority
}

/** Checks requests against the configuration in force, and selects their service. */
internal class RequestAdmission(private val configuration: ActiveConfiguration, private val random: RandomSource) {
    /** Admits [request], or fails with the reason for its refusal. */
    fun admit(request: CallerRequest): Result<AdmittedRequest, Failure> {
        val table = configuration.table
        val route = table?.route(request.host, request.path)
        val account = request.apiKey?.let { table?.account(Digest.of(it)) }
        return when {
            table == null -> Err(Failure(ResultCode.CONFIGURATION_MISSING, "no configuration is in force yet"))
            route == null -> Err(Failure(ResultCode.UNKNOWN_PATH, "no route matches the host and path"))
            table.requiresKeys && !route.anonymous && account == null -> Err(Failure(ResultCode.UNAUTHENTICATED))
            else -> Ok(AdmittedRequest(request, table, route, serviceOf(table, route), account))
        }
    }

    /** The limits of the configuration in force, or null if there is none yet. */
    fun limits(): RelayLimits? = configuration.table?.configuration?.limits

    /** The version of the configuration in force. */
    fun version(): Long = configuration.version

    private fun serviceOf(table: RouteTable, route: RelayRoute): String =
        table.serviceAt(route, random(table.totalWeight(route)))
}
