package cassiaspindle.daemon.entry

import cassiaspindle.entry.discovery.EntryDirectory
import cassiaspindle.schema.Acknowledgement
import cassiaspindle.schema.AnnouncementReply
import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.LeaveNotice
import cassiaspindle.transport.http.backend.BackEndHandlers
import org.tinylog.kotlin.Logger

/** Handles announcements, load reports and leave notices of backend servers. */
internal class BackEndRequestHandler(private val parts: EntryComponents) {
    fun frontEnd() = BackEndHandlers(
        key = parts.environment.keys.backEnd,
        maximumMessageBytes = parts.settings.maximumMessageBytes,
        metrics = parts.metrics,
        announce = ::announce,
        report = { Acknowledgement(parts.registry.updateLoad(it)) },
        cacheEvents = { Acknowledgement(accepted = false) },
        leave = ::leave,
    )

    private fun announce(announcement: BackEndAnnouncement): AnnouncementReply {
        parts.registry.announce(announcement, parts.now())
        return AnnouncementReply(
            leaseMilliseconds = parts.settings.backEndLeaseMilliseconds,
            announceTo = EntryDirectory.forBackEnd(
                parts.catalog.addresses(),
                announcement.name,
                parts.settings.entriesForBackEnd,
            ),
        )
    }

    private fun leave(notice: LeaveNotice): Acknowledgement {
        val accepted = parts.registry.leave(notice)
        Logger.info { "event=backend_left name=${notice.name} incarnation=${notice.incarnation} accepted=$accepted" }
        return Acknowledgement(accepted)
    }
}
