package cassiaspindle.transport.http.operator

import cassiaspindle.transport.http.server.Metrics

/** Handlers for the requests of operators to an entry VM. */
data class EntryOperatorHandlers(
    val key: String,
    val metrics: Metrics,
    /** Stops accepting new requests; requests in flight continue. */
    val drain: () -> Unit,
) {
    override fun toString(): String = "EntryOperatorHandlers"
}
