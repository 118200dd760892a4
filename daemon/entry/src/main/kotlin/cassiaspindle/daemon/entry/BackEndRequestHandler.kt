package cassiaspindle.daemon.entry

import cassiaspindle.entry.discovery.EntryDirectory
import cassiaspindle.schema.Acknowledgement
import cassiaspindle.schema.AnnouncementReply
import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.LeaveNotice
import cassiaspindle.transport.http.backend.BackEndHandlers
import org.tinylog.kotlin.Logger

/** Handles announcements, load reports and leave notices of backend servers. */
internal class BackEndRequestHandler(private val components: EntryComponents) {
    fun handlers() = BackEndHandlers(
        key = components.environment.keys.backEnd,
        maximumMessageBytes = components.settings.maximumMessageBytes,
        metrics = components.metrics,
        announce = ::announce,
        report = { Acknowledgement(components.registry.updateLoad(it)) },
        cacheEvents = { Acknowledgement(accepted = false) },
        leave = ::leave,
    )

    private fun announce(announcement: BackEndAnnouncement): AnnouncementReply {
        components.registry.announce(announcement, components.now())
        return AnnouncementReply(
            leaseMilliseconds = components.settings.backEndLeaseMilliseconds,
            announceTo = EntryDirectory.forBackEnd(
                components.catalog.addresses(),
                announcement.name,
                components.settings.entriesForBackEnd,
            ),
        )
    }

    private fun leave(notice: LeaveNotice): Acknowledgement {
        val accepted = components.registry.leave(notice)
        Logger.info { "event=backend_left name=${notice.name} incarnation=${notice.incarnation} accepted=$accepted" }
        return Acknowledgement(accepted)
    }
}
