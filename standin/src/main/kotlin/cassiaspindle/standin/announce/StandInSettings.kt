package cassiaspindle.standin.announce

import cassiaspindle.schema.BackEndAnnouncement

/** Settings of a stand-in backend server. */
data class StandInSettings(
    val name: String,
    val incarnation: Long,
    val availabilityZone: String,
    val capacity: Int,
    /** Entry VMs that receive the first announcements. */
    val entryAddresses: List<String>,
) {
    /** Creates the announcement for [port], without the runner or plain service that the stand-in offers. */
    internal fun announcement(port: Int) = BackEndAnnouncement(
        name = name,
        incarnation = incarnation,
        address = "127.0.0.1:$port",
        availabilityZone = availabilityZone,
        capacity = capacity,
    )
}
