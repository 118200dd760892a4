package cassiaspindle.transport.http.backend

import cassiaspindle.schema.Acknowledgement
import cassiaspindle.schema.AnnouncementReply
import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.CacheEvents
import cassiaspindle.schema.LeaveNotice
import cassiaspindle.schema.LoadReport
import cassiaspindle.transport.http.server.Metrics

/** Handlers for the requests of backend servers. */
data class BackEndHandlers(
    val key: String,
    val maximumMessageBytes: Int,
    val metrics: Metrics,
    val announce: (BackEndAnnouncement) -> AnnouncementReply,
    val report: (LoadReport) -> Acknowledgement,
    val cacheEvents: (CacheEvents) -> Acknowledgement,
    val leave: (LeaveNotice) -> Acknowledgement,
) {
    override fun toString(): String = "BackEndHandlers"
}
