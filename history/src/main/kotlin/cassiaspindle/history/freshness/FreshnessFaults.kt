package cassiaspindle.history.freshness

/** Points where a test can inject an implementation fault; the defaults are correct. */
data class FreshnessFaults(
    /** Time after an answer with a configuration in which a control replica sends that entry VM no other one. */
    val repairIntervalMilliseconds: Long = 0,
    /** The age that a control replica states; [ageMilliseconds] is the correct one. */
    val statedAge: (ageMilliseconds: Long?) -> Long? = { it },
)
