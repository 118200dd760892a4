package cassiaspindle.relay.configuration

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RelayRoute
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Checks the consistency of [configuration]; [ResultCode.CONFIGURATION_INVALID] with the first problem found. */
fun validateConfiguration(configuration: RelayConfiguration): Result<RelayConfiguration, Failure> {
    val problem = sequenceOf(::routeProblem, ::duplicatePathProblem, ::sharedKeyProblem)
        .firstNotNullOfOrNull { it(configuration) }
    return if (problem == null) Ok(configuration) else Err(Failure(ResultCode.CONFIGURATION_INVALID, problem))
}

private fun routeProblem(configuration: RelayConfiguration): String? {
    val services = configuration.services.map { it.name }.toSet()
    return configuration.routes.firstNotNullOfOrNull { routeProblem(it, services) }
}

private fun routeProblem(route: RelayRoute, services: Set<String>): String? = when {
    route.timeoutMilliseconds <= 0 -> "route ${route.name}: the timeout is not positive"
    route.targets.sumOf { it.weight.toLong() } <= 0 -> "route ${route.name}: the sum of the weights is not positive"
    route.targets.any { it.weight < 0 } -> "route ${route.name}: a weight is negative"
    route.targets.any { it.service !in services } -> "route ${route.name}: a target names an unknown service"
    else -> null
}

private fun duplicatePathProblem(configuration: RelayConfiguration): String? = configuration.routes
    .groupBy { it.host to it.pathPrefix }
    .values
    .firstOrNull { it.size > 1 }
    ?.let { "routes ${it[0].name} and ${it[1].name} have the same host and path prefix" }

private fun sharedKeyProblem(configuration: RelayConfiguration): String? {
    val owners = mutableMapOf<String, String>()
    return configuration.accounts.firstNotNullOfOrNull { account ->
        account.keyDigests
            .firstOrNull { owners.getOrPut(it) { account.name } != account.name }
            ?.let { "client accounts ${owners[it]} and ${account.name} share a key" }
    }
}
