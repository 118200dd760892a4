package cassiaspindle.relay.configuration

import cassiaspindle.load.LoadSharing
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RelayAccount
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RelayRoute
import cassiaspindle.schema.RelayService

/** An immutable index of one configuration. */
class RouteTable(
    val configuration: RelayConfiguration,
) {
    private val routesByHost = configuration.routes.groupBy { it.host }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val accountsByKey = configuration.accounts
        .flatMap { account -> account.keyDigests.map { it to account } }
        .toMap()
    private val servicesByName = configuration.services.associateBy(RelayService::name)

    /** The services for which the parts for heavy load take effect. */
    val sharedServices: Set<String> = configuration.services
        .map(RelayService::name)
        .filter { LoadSharing.isNeeded(configuration, it) }
        .toSet()

    /** Whether requests must carry a key. */
    val requiresKeys: Boolean get() = configuration.accounts.isNotEmpty()

    /** The route of [host] with the longest prefix of [path], or null. */
    fun route(host: String, path: String): RelayRoute? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The client account of the key with [keyDigest], or null. */
    fun account(keyDigest: String): RelayAccount? = accountsByKey[keyDigest]

    /** The service [name], or null. */
    fun service(name: String): RelayService? = servicesByName[name]

    /** The model that the service [name] runs, or null for a plain service. */
    fun engine(name: String): EngineDescription? = servicesByName[name]?.engine

    /** Whether the parts for heavy load take effect for the service [name]. */
    fun sharesLoad(name: String): Boolean = name in sharedServices

    /** The service of [route] at [point] of its cumulative weights, from 0 until [totalWeight]. */
    fun serviceAt(route: RelayRoute, point: Int): String {
        var remaining = point
        return route.targets.first { target ->
            val found = remaining < target.weight
            remaining -= target.weight
            found
        }.service
    }

    /** The sum of the weights of [route]. */
    fun totalWeight(route: RelayRoute): Int = route.targets.sumOf { it.weight }
}
