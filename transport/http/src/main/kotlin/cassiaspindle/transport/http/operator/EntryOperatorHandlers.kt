package cassiaspindle.transport.http.operator

import cassiaspindle.transport.http.server.Metrics

/** What operators reach at an entry VM, as function types. */
data class EntryOperatorHandlers(
    val key: String,
    val metrics: Metrics,
    /** Starts a graceful shutdown of the intake; requests in flight go on. */
    val drain: () -> Unit,
) {
    override fun toString(): String = "EntryOperatorHandlers"
}
