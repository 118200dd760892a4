package cassiaspindle.relay.configuration

import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RelayAccount
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RelayRoute
import cassiaspindle.schema.RelayService

/** One configuration, arranged for lookups; never changed. */
class RouteTable(
    /** The configuration. */
    val configuration: RelayConfiguration,
) {
    private val routesByHost = configuration.routes.groupBy { it.host }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val accountsByKey = configuration.accounts
        .flatMap { account -> account.keyDigests.map { it to account } }
        .toMap()
    private val servicesByName = configuration.services.associateBy(RelayService::name)

    /** Whether requests have to show a key. */
    val requiresKeys: Boolean get() = configuration.accounts.isNotEmpty()

    /** The route of [host] with the longest prefix that begins [path], or null. */
    fun route(host: String, path: String): RelayRoute? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The client account that holds the key with [keyDigest], or null. */
    fun account(keyDigest: String): RelayAccount? = accountsByKey[keyDigest]

    /** The service called [name], or null. */
    fun service(name: String): RelayService? = servicesByName[name]

    /** The model that runners of the service called [name] hold, or null where it is a plain service. */
    fun engine(name: String): EngineDescription? = servicesByName[name]?.engine

    /** The service of [route] at [point] of its weights, from 0 until [totalWeight]. */
    fun serviceAt(route: RelayRoute, point: Int): String {
        var rest = point
        return route.targets.first { target ->
            val found = rest < target.weight
            rest -= target.weight
            found
        }.service
    }

    /** The sum of the weights of [route]. */
    fun totalWeight(route: RelayRoute): Int = route.targets.sumOf { it.weight }
}
