package cassiaspindle.relay.configuration

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ConfigurationFinding
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RelayRoute
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Checks the consistency of [configuration]; [ResultCode.CONFIGURATION_INVALID] with the first problem found. */
fun validateConfiguration(configuration: RelayConfiguration): Result<RelayConfiguration, Failure> {
    val problem = inconsistenciesOf(configuration).firstOrNull() ?: return Ok(configuration)
    return Err(Failure(ResultCode.CONFIGURATION_INVALID, "${problem.subject}: ${problem.detail}"))
}

/** The inconsistencies for which entry VMs refuse [configuration], found as they are asked for. */
internal fun inconsistenciesOf(configuration: RelayConfiguration): Sequence<ConfigurationFinding> =
    sequenceOf(::routeProblems, ::repeatedPathProblems, ::sharedKeyProblems).flatMap { it(configuration) }

private fun routeProblems(configuration: RelayConfiguration): Sequence<ConfigurationFinding> {
    val services = configuration.services.map { it.name }.toSet()
    return configuration.routes.asSequence().flatMap { routeProblems(it, services) }
}

private fun routeProblems(route: RelayRoute, services: Set<String>): List<ConfigurationFinding> = buildList {
    val subject = subjectOf(route)
    if (route.timeoutMilliseconds <= 0) {
        add(FindingKind.TIMEOUT_NOT_POSITIVE.of(subject, "the timeout is not positive"))
    }
    if (route.targets.sumOf { it.weight.toLong() } <= 0) {
        add(FindingKind.WEIGHTS_NOT_POSITIVE.of(subject, "the sum of the weights is not positive"))
    }
    if (route.targets.any { it.weight < 0 }) {
        add(FindingKind.WEIGHT_NEGATIVE.of(subject, "a weight is negative"))
    }
    route.targets.filter { it.service !in services }.forEach {
        add(FindingKind.SERVICE_UNKNOWN.of(subject, "a target names the unknown service ${it.service}"))
    }
}

private fun repeatedPathProblems(configuration: RelayConfiguration): Sequence<ConfigurationFinding> =
    configuration.routes
        .groupBy { it.host to it.pathPrefix }
        .values
        .asSequence()
        .flatMap { same ->
            val detail = "it has the same host and path prefix as the route ${same.first().name}"
            same.drop(1).map { FindingKind.ROUTE_SHADOWED.of(subjectOf(it), detail) }
        }

private fun sharedKeyProblems(configuration: RelayConfiguration): Sequence<ConfigurationFinding> {
    val owners = mutableMapOf<String, String>()
    return configuration.accounts.asSequence().flatMap { account ->
        account.keyDigests.distinct()
            .filter { owners.getOrPut(it) { account.name } != account.name }
            .map {
                FindingKind.KEY_SHARED.of("client account ${account.name}", "it shares a key with ${owners[it]}")
            }
    }
}

internal fun subjectOf(route: RelayRoute): String = "route ${route.name}"
