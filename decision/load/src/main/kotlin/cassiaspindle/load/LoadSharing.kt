package cassiaspindle.load

import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RelayRoute

/** Decides for which services entry VMs share their load, queue requests and pace backend servers. */
object LoadSharing {
    /**
     * Whether [configuration] needs this for [service]: its routes differ in priority. Never for a plain service, whose
     * capacity no configuration describes.
     */
    fun isNeeded(configuration: RelayConfiguration, service: String): Boolean {
        val runsModel = configuration.services.any { it.name == service && it.engine != null }
        val routes = configuration.routes.filter { route -> route.targets.any { it.service == service } }
        return runsModel && routes.map(RelayRoute::priority).distinct().size > 1
    }
}
