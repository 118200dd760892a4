package cassiaspindle.daemon.entry

import cassiaspindle.entry.catalog.ServiceCatalog
import cassiaspindle.entry.discovery.EntryDirectory
import cassiaspindle.entry.membership.BackEndRegistry
import cassiaspindle.schema.Acknowledgement
import cassiaspindle.schema.AnnouncementReply
import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.EntrySettings
import cassiaspindle.schema.LeaveNotice
import cassiaspindle.transport.http.backend.BackEndFrontEnd
import cassiaspindle.transport.http.server.Metrics
import org.tinylog.kotlin.Logger

/** Hears backend servers announce themselves, report load and leave. */
internal class BackEndDesk(
    private val settings: EntrySettings,
    private val environment: EntryEnvironment,
    private val metrics: Metrics,
    private val catalog: ServiceCatalog,
    private val registry: BackEndRegistry,
) {
    fun frontEnd() = BackEndFrontEnd(
        key = environment.keys.backEnd,
        maximumMessageBytes = settings.maximumMessageBytes,
        metrics = metrics,
        announce = ::announce,
        report = { Acknowledgement(registry.report(it)) },
        cacheEvents = { Acknowledgement(accepted = false) },
        leave = ::leave,
    )

    private fun announce(announcement: BackEndAnnouncement): AnnouncementReply {
        registry.announce(announcement, environment.clock.monotonicMilliseconds())
        return AnnouncementReply(
            leaseMilliseconds = settings.backEndLeaseMilliseconds,
            announceTo = EntryDirectory.forBackEnd(
                catalog.addresses(),
                announcement.name,
                settings.entriesForBackEnd,
            ),
        )
    }

    private fun leave(notice: LeaveNotice): Acknowledgement {
        val accepted = registry.leave(notice)
        Logger.info { "event=backend_left name=${notice.name} incarnation=${notice.incarnation} accepted=$accepted" }
        return Acknowledgement(accepted)
    }
}
