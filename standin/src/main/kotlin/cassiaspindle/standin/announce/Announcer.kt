package cassiaspindle.standin.announce

import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.LeaveNotice
import cassiaspindle.schema.LoadReport
import cassiaspindle.transport.http.client.AnnouncementClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

private const val ANNOUNCEMENT_INTERVAL_MILLISECONDS = 400L

/** Announces a stand-in to the entry VMs that route to it, and reports its load to them. */
internal class Announcer(
    private val client: AnnouncementClient,
    entryAddresses: List<String>,
    private val announcement: () -> BackEndAnnouncement,
    private val runningCount: () -> Int,
) {
    private val targetAddresses = AtomicReference(entryAddresses.toSet())
    private val seedAddresses = entryAddresses.toSet()
    private val sequence = AtomicLong()

    fun start(scope: CoroutineScope): Job = scope.launch {
        while (isActive) {
            targetAddresses.get().forEach { launch { announceTo(it) } }
            delay(ANNOUNCEMENT_INTERVAL_MILLISECONDS)
        }
    }

    suspend fun leave() {
        val notice = LeaveNotice(announcement().name, announcement().incarnation)
        targetAddresses.get().forEach { client.leave(it, notice) }
    }

    private suspend fun announceTo(address: String) {
        val current = announcement()
        val reply = client.announce(address, current) ?: return
        if (reply.announceTo.isNotEmpty()) targetAddresses.set(seedAddresses + reply.announceTo.map { it.address })
        client.report(
            address,
            LoadReport(current.name, current.incarnation, sequence.incrementAndGet(), runningCount(), queued = 0),
        )
    }
}
