package cassiaspindle.relay.configuration

import cassiaspindle.relay.request.isRetryable
import cassiaspindle.schema.ConfigurationFinding
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RelayRoute
import cassiaspindle.schema.RelayRouteKind

/** Subject of findings about the limits. */
internal const val LIMITS = "limits"

/**
 * All findings about [configuration], the most severe first: inconsistencies, entries that can never match, limits that
 * contradict each other and, with [inForce], what it changes.
 */
fun checkConfiguration(
    configuration: RelayConfiguration,
    inForce: RelayConfiguration? = null,
): List<ConfigurationFinding> {
    val findings = inconsistenciesOf(configuration).toList() +
        unmatchedEntriesOf(configuration) +
        contradictionsOf(configuration) +
        inForce?.let { differencesOf(configuration, it) }.orEmpty()
    return findings.sortedWith(compareBy({ it.severity }, { it.number }))
}

/** Entries of [configuration] that no request uses, or more requests than they seem to. */
private fun unmatchedEntriesOf(configuration: RelayConfiguration): List<ConfigurationFinding> =
    configuration.routes.flatMap(::pathFindings) +
        serviceFindings(configuration) +
        configuration.accounts.filter { it.keyDigests.isEmpty() }.map {
            FindingKind.ACCOUNT_WITHOUT_KEY.of("client account ${it.name}", "it has no key")
        } +
        configuration.accounts.filter { it.keyDigests.distinct().size < it.keyDigests.size }.map {
            FindingKind.KEY_REPEATED.of("client account ${it.name}", "it lists a key more than once")
        } +
        repeatedNames("route", configuration.routes.map { it.name }) +
        repeatedNames("service", configuration.services.map { it.name }) +
        repeatedNames("client account", configuration.accounts.map { it.name })

private fun pathFindings(route: RelayRoute): List<ConfigurationFinding> = buildList {
    val subject = subjectOf(route)
    val prefix = route.pathPrefix
    if (route.host.isBlank()) add(FindingKind.HOST_EMPTY.of(subject, "no request has an empty host"))
    if (prefix.isNotEmpty() && !prefix.startsWith('/')) {
        val detail = "the path prefix '$prefix' does not begin with a slash, and no path matches it"
        add(FindingKind.PREFIX_WITHOUT_LEADING_SLASH.of(subject, detail))
    }
    if (!prefix.endsWith('/')) {
        val detail = "the path prefix '$prefix' does not end with a slash, and longer names match it as well"
        add(FindingKind.PREFIX_WITHOUT_TRAILING_SLASH.of(subject, detail))
    }
}

private fun serviceFindings(configuration: RelayConfiguration): List<ConfigurationFinding> {
    val used = configuration.routes.flatMap { it.targets }.filter { it.weight > 0 }.map { it.service }.toSet()
    val withoutRoute = configuration.services.filter { it.name !in used }.map {
        FindingKind.SERVICE_WITHOUT_ROUTE.of("service ${it.name}", "no route sends requests to it")
    }
    val withoutWeight = configuration.routes.flatMap { route ->
        route.targets.filter { it.weight == 0 }.map {
            FindingKind.TARGET_WITHOUT_WEIGHT.of(subjectOf(route), "the target ${it.service} has the weight 0")
        }
    }
    return withoutRoute + withoutWeight
}

private fun repeatedNames(entry: String, names: List<String>): List<ConfigurationFinding> =
    names.groupingBy { it }.eachCount().filterValues { it > 1 }.map { (name, count) ->
        FindingKind.NAME_REPEATED.of("$entry $name", "$count entries have this name")
    }

/** Limits of [configuration] that contradict each other. */
private fun contradictionsOf(configuration: RelayConfiguration): List<ConfigurationFinding> =
    configuration.routes.flatMap { timeFindings(it) + attemptFindings(it) } +
        configuration.services.filter { it.maximumConnections <= 0 }.map {
            notPositive("service ${it.name}", "maximumConnections", it.maximumConnections.toLong())
        } +
        configuration.accounts.filter { (it.priority ?: 0) < 0 }.map {
            FindingKind.PRIORITY_NEGATIVE.of("client account ${it.name}", "the priority is ${it.priority}")
        } +
        limitFindings(configuration)

private fun timeFindings(route: RelayRoute): List<ConfigurationFinding> = buildList {
    val subject = subjectOf(route)
    val timeout = route.timeoutMilliseconds
    val objectives = listOf(
        "objectiveMilliseconds" to route.objectiveMilliseconds,
        "gapObjectiveMilliseconds" to route.gapObjectiveMilliseconds,
    )
    objectives.filter { it.second <= 0 }.forEach { (name, value) -> add(notPositive(subject, name, value)) }
    if (route.objectiveMilliseconds > timeout) {
        val detail = "the objective of ${route.objectiveMilliseconds} ms is over the timeout of $timeout ms"
        add(FindingKind.OBJECTIVE_OVER_TIMEOUT.of(subject, detail))
    }
    val hasGaps = route.kind == RelayRouteKind.STREAM
    if (hasGaps && route.gapObjectiveMilliseconds > timeout) {
        val detail = "the gap objective of ${route.gapObjectiveMilliseconds} ms is over the timeout of $timeout ms"
        add(FindingKind.GAP_OBJECTIVE_OVER_TIMEOUT.of(subject, detail))
    }
}

private fun attemptFindings(route: RelayRoute): List<ConfigurationFinding> = buildList {
    val subject = subjectOf(route)
    val attempts = route.maximumAttempts
    if (attempts <= 0) add(notPositive(subject, "maximumAttempts", attempts.toLong()))
    if (attempts > 1 && !isRetryable(route)) {
        val detail = "$attempts attempts, but a request that may have run is not sent again: only refused ones are"
        add(FindingKind.ATTEMPTS_OVER_KIND.of(subject, detail))
    }
    if (route.resumable && route.kind != RelayRouteKind.STREAM) {
        add(FindingKind.RESUMABLE_WITHOUT_STREAM.of(subject, "only streams can be resumed"))
    }
    if (route.priority < 0) add(FindingKind.PRIORITY_NEGATIVE.of(subject, "the priority is ${route.priority}"))
}

private fun limitFindings(configuration: RelayConfiguration): List<ConfigurationFinding> = buildList {
    val limits = configuration.limits
    limitFields.map { (name, read) -> name to read(limits) }
        .filter { it.second <= 0 }
        .forEach { (name, value) -> add(notPositive(LIMITS, name, value)) }
    if (limits.maximumHeaderBytes > limits.maximumBodyBytes) {
        val detail = "heads of ${limits.maximumHeaderBytes} bytes, bodies of ${limits.maximumBodyBytes} bytes"
        add(FindingKind.HEAD_LIMIT_OVER_BODY_LIMIT.of(LIMITS, detail))
    }
    if (limits.headerTimeoutMilliseconds > limits.idleTimeoutMilliseconds) {
        val detail = "the timeout of a head is ${limits.headerTimeoutMilliseconds} ms, " +
            "that of an idle connection ${limits.idleTimeoutMilliseconds} ms"
        add(FindingKind.HEADER_TIMEOUT_OVER_IDLE_TIMEOUT.of(LIMITS, detail))
    }
}

private fun notPositive(subject: String, field: String, value: Long): ConfigurationFinding =
    FindingKind.VALUE_NOT_POSITIVE.of(subject, "$field is $value")
