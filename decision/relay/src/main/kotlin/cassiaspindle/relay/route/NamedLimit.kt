package cassiaspindle.relay.route

/** The requests a second that a backend server says it takes from all entry VMs together. */
data class NamedLimit(
    /** The limit as sent. */
    val text: String,
    /** Its value, or null if the text is no number or a negative one. */
    val requestsPerSecond: Double?,
)
