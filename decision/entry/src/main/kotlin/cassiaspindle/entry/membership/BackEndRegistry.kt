package cassiaspindle.entry.membership

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.LeaveNotice
import cassiaspindle.schema.LoadReport

private const val SHARDS = 8

/** How long an expired or departed backend server is remembered, so that a delayed announcement can't restore it. */
private const val TOMBSTONE_MILLISECONDS = 600_000L

/**
 * The backend servers that have announced themselves to this entry VM.
 *
 * An announcement is a lease. Messages of an older incarnation never override those of a newer one, and an incarnation
 * that has left is not accepted again.
 */
class BackEndRegistry(private val leaseMilliseconds: Long) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, BackEnd>() }

    /** Registers [announcement] and renews its lease; returns false if its incarnation is outdated or has left. */
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

    /** Marks the incarnation in [notice] as left, so that it gets no new work; returns false if it is not current. */
    fun leave(notice: LeaveNotice): Boolean = change(notice.name, notice.incarnation) { it.copy(left = true) }

    /** Stores a load report unless a newer one is known; returns false if its incarnation is not current. */
    fun report(report: LoadReport): Boolean = change(report.name, report.incarnation) { known ->
        val newest = known.report?.sequence ?: -1
        if (report.sequence > newest) known.copy(report = report) else known
    }

    /**
     * Records a failure of the backend server [name], which then gets no new work for a while, each time twice as long.
     *
     * A backend server can keep announcing itself while its streams are silent, so an announcement of the same
     * incarnation does not end the backoff.
     */
    fun suspect(name: String, nowMilliseconds: Long) {
        shards.withKey(name) { backEnds ->
            backEnds.computeIfPresent(name) { _, known ->
                known.copy(suspicion = known.suspicion.again(nowMilliseconds))
            }
        }
    }

    /** Records a success of the backend server [name]: its next failure counts as the first again. */
    fun prove(name: String) {
        shards.withKey(name) { backEnds ->
            backEnds.computeIfPresent(name) { _, known -> known.copy(suspicion = known.suspicion.proved()) }
        }
    }

    /** Adds [change] to the number of requests in flight at [name]. */
    fun occupy(name: String, change: Int) {
        shards.withKey(name) { backEnds ->
            backEnds.computeIfPresent(name) { _, known ->
                known.copy(inFlight = (known.inFlight + change).coerceAtLeast(0))
            }
        }
    }

    /** Returns the backend servers that may get new work at [nowMilliseconds], sorted by name. */
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
