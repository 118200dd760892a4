package cassiaspindle.daemon.relay

import cassiaspindle.daemon.relay.control.BLOCKED_CONTENTS_PATH
import cassiaspindle.daemon.relay.control.BlockedContentHandler
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall
import cassiaspindle.transport.relay.ResponseHead

private const val STATUS_OK = 200
private const val STATUS_UNAVAILABLE = 503

/** Answers readiness checks, and the calls of operators at the metrics address. */
internal class StatusHandler(
    private val presencePublisher: EntryPresencePublisher,
    private val metrics: Metrics,
    private val blockedContentHandler: BlockedContentHandler,
) {
    /** Responds whether callers may be sent to this entry VM. */
    suspend fun respondReady(call: RelayCall) {
        val status = if (presencePublisher.isReady) STATUS_OK else STATUS_UNAVAILABLE
        call.respond(ResponseHead(status, reason = "", emptyList()), ByteArray(0))
    }

    /** Responds with the metrics, or passes a call about blocked contents on. */
    suspend fun respondMetrics(call: RelayCall) {
        if (call.head.target.startsWith(BLOCKED_CONTENTS_PATH)) return blockedContentHandler.handle(call)
        val contentType = listOf(Header("Content-Type", "text/plain"))
        call.respond(ResponseHead(STATUS_OK, reason = "OK", contentType), metrics.registry.scrape().encodeToByteArray())
    }
}
