package cassiaspindle.entry.request

/** Keeps one timer of a request armed; the timer is only ever moved to an earlier time. */
internal class RequestTimer(private val requestId: String, private val steps: RequestActionCollector) {
    private var armedMilliseconds: Long? = null

    fun arm(atMilliseconds: Long) {
        val armed = armedMilliseconds
        val isSooner = armed == null || atMilliseconds < armed
        if (!isSooner || atMilliseconds == Long.MAX_VALUE) return
        armedMilliseconds = atMilliseconds
        steps.emit(EntryEffect.ScheduleWake(requestId, atMilliseconds))
    }

    fun fired() {
        armedMilliseconds = null
    }
}
