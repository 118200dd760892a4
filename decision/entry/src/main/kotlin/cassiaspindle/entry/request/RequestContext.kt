package cassiaspindle.entry.request

/** State shared by the components of one request. */
internal data class RequestContext(
    val identity: EntryIdentity,
    val policies: RoutingPolicies,
    val actions: RequestActionCollector = RequestActionCollector(),
)
