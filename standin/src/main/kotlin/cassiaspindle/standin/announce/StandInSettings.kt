package cassiaspindle.standin.announce

import cassiaspindle.schema.BackEndAnnouncement

/** What a stand-in is started with. */
data class StandInSettings(
    val name: String,
    val incarnation: Long,
    val availabilityZone: String,
    val capacity: Int,
    /** Entry VMs to announce at first. */
    val entryAddresses: List<String>,
) {
    /** What a stand-in that listens on [port] announces, without what it offers. */
    internal fun announcement(port: Int) = BackEndAnnouncement(
        name = name,
        incarnation = incarnation,
        address = "127.0.0.1:$port",
        availabilityZone = availabilityZone,
        capacity = capacity,
    )
}
