package cassiaspindle.entry.request

/** What the parts of one request share. */
internal data class RequestContext(
    val identity: EntryIdentity,
    val policies: RoutingPolicies,
    val steps: RequestActionCollector = RequestActionCollector(),
)
