package cassiaspindle.relay.configuration

import cassiaspindle.schema.ConfigurationFinding
import cassiaspindle.schema.RelayAccount
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RelayLimits
import cassiaspindle.schema.RelayRoute
import cassiaspindle.schema.RelayService

/** Longer values of a field, such as that of an engine, are left out of a finding. */
private const val MAXIMUM_VALUE_CHARACTERS = 200

/** Reads one field of an entry. */
private typealias FieldReader<Entry> = (Entry) -> Any?

/** The fields of the limits by name. */
internal val limitFields: List<Pair<String, (RelayLimits) -> Long>> = listOf(
    "maximumHeaderBytes" to { it.maximumHeaderBytes.toLong() },
    "maximumBodyBytes" to { it.maximumBodyBytes.toLong() },
    "headerTimeoutMilliseconds" to { it.headerTimeoutMilliseconds },
    "idleTimeoutMilliseconds" to { it.idleTimeoutMilliseconds },
)

private val routeFields: List<Pair<String, FieldReader<RelayRoute>>> = listOf(
    "host" to RelayRoute::host,
    "pathPrefix" to RelayRoute::pathPrefix,
    "kind" to RelayRoute::kind,
    "timeoutMilliseconds" to RelayRoute::timeoutMilliseconds,
    "targets" to { route -> route.targets.map { "${it.service}:${it.weight}" } },
    "objectiveMilliseconds" to RelayRoute::objectiveMilliseconds,
    "gapObjectiveMilliseconds" to RelayRoute::gapObjectiveMilliseconds,
    "priority" to RelayRoute::priority,
    "maximumAttempts" to RelayRoute::maximumAttempts,
    "anonymous" to RelayRoute::anonymous,
    "resumable" to RelayRoute::resumable,
)

private val serviceFields: List<Pair<String, FieldReader<RelayService>>> = listOf(
    "maximumConnections" to RelayService::maximumConnections,
    "engine" to RelayService::engine,
)

/** Reports only the number of keys: digests do not belong in a report. */
private val accountFields: List<Pair<String, FieldReader<RelayAccount>>> = listOf(
    "keys" to { it.keyDigests.size },
    "priority" to RelayAccount::priority,
)

/** The kinds of findings about one kind of entry. */
private data class DifferenceKinds(
    val entry: String,
    val added: FindingKind,
    val removed: FindingKind,
    val changed: FindingKind,
)

private val routeKinds =
    DifferenceKinds("route", FindingKind.ROUTE_ADDED, FindingKind.ROUTE_REMOVED, FindingKind.ROUTE_CHANGED)
private val serviceKinds =
    DifferenceKinds("service", FindingKind.SERVICE_ADDED, FindingKind.SERVICE_REMOVED, FindingKind.SERVICE_CHANGED)
private val accountKinds = DifferenceKinds(
    "client account",
    FindingKind.ACCOUNT_ADDED,
    FindingKind.ACCOUNT_REMOVED,
    FindingKind.ACCOUNT_CHANGED,
)

/** What [configuration] changes of [inForce], and whether its version allows that. */
internal fun differencesOf(configuration: RelayConfiguration, inForce: RelayConfiguration): List<ConfigurationFinding> =
    listOfNotNull(versionFinding(configuration, inForce)) +
        differences(routeKinds, routeFields, configuration.routes, inForce.routes, RelayRoute::name) +
        differences(serviceKinds, serviceFields, configuration.services, inForce.services, RelayService::name) +
        differences(accountKinds, accountFields, configuration.accounts, inForce.accounts, RelayAccount::name) +
        listOf(changedFields(limitFields, inForce.limits, configuration.limits))
            .filter { it.isNotEmpty() }
            .map { FindingKind.LIMITS_CHANGED.of(LIMITS, it) }

private fun versionFinding(configuration: RelayConfiguration, inForce: RelayConfiguration): ConfigurationFinding? =
    when {
        configuration == inForce -> FindingKind.SAME_AS_IN_FORCE.of("version", "it is the one in force")
        configuration.version <= inForce.version -> {
            val detail = "${configuration.version} is not higher than ${inForce.version}, which is in force"
            FindingKind.VERSION_NOT_HIGHER.of("version", detail)
        }
        else -> null
    }

private fun <Entry> differences(
    kinds: DifferenceKinds,
    fields: List<Pair<String, FieldReader<Entry>>>,
    entries: List<Entry>,
    inForce: List<Entry>,
    nameOf: (Entry) -> String,
): List<ConfigurationFinding> {
    val current = entries.associateBy(nameOf)
    val previous = inForce.associateBy(nameOf)
    val added = (current.keys - previous.keys).map { kinds.added.of("${kinds.entry} $it", "it is new") }
    val removed = (previous.keys - current.keys).map { kinds.removed.of("${kinds.entry} $it", "it is not there") }
    val changed = current.mapNotNull { (name, entry) ->
        val before = previous[name]?.takeIf { it != entry }
        before?.let {
            val detail = changedFields(fields, it, entry).ifEmpty { "other keys" }
            kinds.changed.of("${kinds.entry} $name", detail)
        }
    }
    return added + removed + changed
}

/** The changed ones of [fields] as `name: before -> after`, or the name alone if the values are long. */
private fun <Entry> changedFields(
    fields: List<Pair<String, FieldReader<Entry>>>,
    before: Entry,
    after: Entry,
): String = fields.filter { (_, read) -> read(before) != read(after) }
    .joinToString("; ") { (name, read) ->
        val values = "${read(before)} -> ${read(after)}"
        if (values.length > MAXIMUM_VALUE_CHARACTERS) name else "$name: $values"
    }
