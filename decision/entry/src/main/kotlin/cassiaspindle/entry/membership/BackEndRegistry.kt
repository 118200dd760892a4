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
    private val shards = Sharded(SHARDS) { mutableMapOf<String, RegisteredBackEnd>() }

    /** Registers [announcement] and renews its lease; returns false if its incarnation is outdated or has left. */
    fun announce(announcement: BackEndAnnouncement, nowMilliseconds: Long): Boolean =
        shards.withKey(announcement.name) { backEnds ->
            val current = backEnds[announcement.name]
            if (current != null && current.supersedes(announcement.incarnation)) {
                false
            } else {
                val sameIncarnation = current?.takeIf { it.announcement.incarnation == announcement.incarnation }
                backEnds[announcement.name] = RegisteredBackEnd(
                    announcement = announcement,
                    leaseEndMilliseconds = nowMilliseconds + leaseMilliseconds,
                    inFlight = sameIncarnation?.inFlight ?: 0,
                    report = sameIncarnation?.report,
                    backoff = sameIncarnation?.backoff ?: FailureBackoff(),
                )
                true
            }
        }

    /** Marks the incarnation in [notice] as left, so that it gets no new work; returns false if it is not current. */
    fun leave(notice: LeaveNotice): Boolean =
        updateIncarnation(notice.name, notice.incarnation) { it.copy(hasLeft = true) }

    /** Stores a load report unless a newer one is known; returns false if its incarnation is not current. */
    fun updateLoad(report: LoadReport): Boolean = updateIncarnation(report.name, report.incarnation) { current ->
        val newest = current.report?.sequence ?: -1
        if (report.sequence > newest) current.copy(report = report) else current
    }

    /**
     * Records a failure of the backend server [name], which then gets no new work for a while, each time twice as long.
     *
     * A backend server can keep announcing itself while its streams are silent, so an announcement of the same
     * incarnation does not end the backoff.
     */
    fun recordFailure(name: String, nowMilliseconds: Long) {
        shards.withKey(name) { backEnds ->
            backEnds.computeIfPresent(name) { _, current ->
                current.copy(backoff = current.backoff.afterFailure(nowMilliseconds))
            }
        }
    }

    /** Records a success of the backend server [name]: its next failure counts as the first again. */
    fun recordSuccess(name: String) {
        shards.withKey(name) { backEnds ->
            backEnds.computeIfPresent(name) { _, current -> current.copy(backoff = current.backoff.afterSuccess()) }
        }
    }

    /** Adds [change] to the number of requests in flight at [name]. */
    fun addInFlight(name: String, change: Int) {
        shards.withKey(name) { backEnds ->
            backEnds.computeIfPresent(name) { _, current ->
                current.copy(inFlight = (current.inFlight + change).coerceAtLeast(0))
            }
        }
    }

    /** Returns the backend servers that may get new work at [nowMilliseconds], sorted by name. */
    fun usable(nowMilliseconds: Long): List<BackEndView> = shards
        .mapEach { backEnds ->
            backEnds.values.removeIf { it.leaseEndMilliseconds + TOMBSTONE_MILLISECONDS < nowMilliseconds }
            backEnds.values.filter { it.isUsable(nowMilliseconds) }.map(RegisteredBackEnd::toView)
        }
        .flatten()
        .sortedBy(BackEndView::name)

    private fun updateIncarnation(
        name: String,
        incarnation: Long,
        update: (RegisteredBackEnd) -> RegisteredBackEnd,
    ): Boolean = shards.withKey(name) { backEnds ->
        val current = backEnds[name]
        if (current == null || current.announcement.incarnation != incarnation) {
            false
        } else {
            backEnds[name] = update(current)
            true
        }
    }

    private data class RegisteredBackEnd(
        val announcement: BackEndAnnouncement,
        val leaseEndMilliseconds: Long,
        val inFlight: Int = 0,
        val report: LoadReport? = null,
        val hasLeft: Boolean = false,
        val backoff: FailureBackoff = FailureBackoff(),
    ) {
        fun supersedes(incarnation: Long): Boolean =
            announcement.incarnation > incarnation || (hasLeft && announcement.incarnation == incarnation)

        fun isUsable(nowMilliseconds: Long): Boolean =
            !hasLeft && !backoff.isActive(nowMilliseconds) && leaseEndMilliseconds > nowMilliseconds

        fun toView() = BackEndView(announcement, inFlight, report?.let { it.running + it.queued } ?: 0)
    }
}
