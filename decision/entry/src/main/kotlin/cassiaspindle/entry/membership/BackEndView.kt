package cassiaspindle.entry.membership

import cassiaspindle.schema.BackEndAnnouncement

/** Snapshot of a backend server for routing decisions. */
data class BackEndView(
    val announcement: BackEndAnnouncement,
    /** Requests that this entry VM has in flight there. */
    val inFlight: Int,
    /** Requests of all entry VMs that run or are queued there, according to its newest load report. */
    val reportedLoad: Int,
) {
    /** Unique name. */
    val name: String get() = announcement.name

    /** The larger of both counts: [inFlight] is exact for this entry VM, [reportedLoad] covers all of them but lags. */
    val load: Int get() = maxOf(inFlight, reportedLoad)

    /** Whether the capacity allows one more request. */
    val hasRoom: Boolean get() = load < announcement.capacity
}
