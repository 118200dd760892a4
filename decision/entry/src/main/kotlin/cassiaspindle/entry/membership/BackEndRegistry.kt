package cassiaspindle.entry.membership

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.LeaveNotice
import cassiaspindle.schema.LoadReport

private const val SHARDS = 8

/** How long a departed backend server is remembered so that old news can't bring it back, in milliseconds. */
private const val TOMBSTONE_MILLISECONDS = 600_000L

/**
 * The backend servers that announced themselves to this entry VM.
 *
 * An announcement is a lease. News of an older incarnation never overrides news of a newer one, and an incarnation
 * that left does not return.
 */
class BackEndRegistry(private val leaseMilliseconds: Long) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, BackEnd>() }

    /** Takes [announcement] and renews its lease; false where it is older than what is known. */
    fun announce(announcement: BackEndAnnouncement, nowMilliseconds: Long): Boolean =
        shards.withKey(announcement.name) { backEnds ->
            val known = backEnds[announcement.name]
            if (known != null && known.outlives(announcement.incarnation)) {
                false
            } else {
                val kept = known?.takeIf { it.announcement.incarnation == announcement.incarnation }
                backEnds[announcement.name] = BackEnd(
                    announcement = announcement,
                    leaseEndMilliseconds = nowMilliseconds + leaseMilliseconds,
                    inFlight = kept?.inFlight ?: 0,
                    report = kept?.report,
                    suspicion = kept?.suspicion ?: FailureBackoff(),
                )
                true
            }
        }

    /** Gives [notice] effect at once: no new work goes to that incarnation. */
    fun leave(notice: LeaveNotice): Boolean = change(notice.name, notice.incarnation) { it.copy(left = true) }

    /** Takes a load report; one that is older than the newest changes nothing. */
    fun report(report: LoadReport): Boolean = change(report.name, report.incarnation) { known ->
        val newest = known.report?.sequence ?: -1
        if (report.sequence > newest) known.copy(report = report) else known
    }

    /**
     * Gives the backend server [name] no new work for a while, each time twice as long.
     *
     * A back end can be silent on its streams and still announce itself, so that an announcement clears nothing.
     */
    fun suspect(name: String, nowMilliseconds: Long) {
        shards.withKey(name) { backEnds ->
            backEnds.computeIfPresent(name) { _, known ->
                known.copy(suspicion = known.suspicion.again(nowMilliseconds))
            }
        }
    }

    /** Takes the news that [name] did what it was asked: its next failure counts as the first again. */
    fun prove(name: String) {
        shards.withKey(name) { backEnds ->
            backEnds.computeIfPresent(name) { _, known -> known.copy(suspicion = known.suspicion.proved()) }
        }
    }

    /** Counts [change] requests more in flight at [name]. */
    fun occupy(name: String, change: Int) {
        shards.withKey(name) { backEnds ->
            backEnds.computeIfPresent(name) { _, known ->
                known.copy(inFlight = (known.inFlight + change).coerceAtLeast(0))
            }
        }
    }

    /** The backend servers that may get new work at [nowMilliseconds], by name. */
    fun usable(nowMilliseconds: Long): List<BackEndView> = shards
        .mapEach { backEnds ->
            backEnds.values.removeIf { it.leaseEndMilliseconds + TOMBSTONE_MILLISECONDS < nowMilliseconds }
            backEnds.values.filter { it.isUsable(nowMilliseconds) }.map(BackEnd::view)
        }
        .flatten()
        .sortedBy(BackEndView::name)

    private fun change(name: String, incarnation: Long, update: (BackEnd) -> BackEnd): Boolean =
        shards.withKey(name) { backEnds ->
            val known = backEnds[name]
            if (known == null || known.announcement.incarnation != incarnation) {
                false
            } else {
                backEnds[name] = update(known)
                true
            }
        }

    private data class BackEnd(
        val announcement: BackEndAnnouncement,
        val leaseEndMilliseconds: Long,
        val inFlight: Int = 0,
        val report: LoadReport? = null,
        val left: Boolean = false,
        val suspicion: FailureBackoff = FailureBackoff(),
    ) {
        fun outlives(incarnation: Long): Boolean =
            announcement.incarnation > incarnation || (left && announcement.incarnation == incarnation)

        fun isUsable(nowMilliseconds: Long): Boolean =
            !left && !suspicion.holds(nowMilliseconds) && leaseEndMilliseconds > nowMilliseconds

        fun view() = BackEndView(announcement, inFlight, report?.let { it.running + it.queued } ?: 0)
    }
}
