package cassiaspindle.entry.membership

import cassiaspindle.schema.BackEndAnnouncement

/** A backend server as the decisions see it at one moment. */
data class BackEndView(
    val announcement: BackEndAnnouncement,
    /** Requests that this entry VM has in flight there. */
    val inFlight: Int,
    /** Requests running and queued there by its newest report, over all entry VMs. */
    val reportedLoad: Int,
) {
    /** Unique name. */
    val name: String get() = announcement.name

    /** Requests in flight as far as known: the own count is exact, the reported one lags. */
    val load: Int get() = maxOf(inFlight, reportedLoad)

    /** Whether one more request fits. */
    val hasRoom: Boolean get() = load < announcement.capacity
}
