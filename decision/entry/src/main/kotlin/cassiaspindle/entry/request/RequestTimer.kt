package cassiaspindle.entry.request

/** Keeps one timer of a request armed; the timer is only ever moved to an earlier time. */
internal class RequestTimer(private val requestId: String, private val actions: RequestActionCollector) {
    private var armedMilliseconds: Long? = null

    fun arm(atMilliseconds: Long) {
        val armed = armedMilliseconds
        val isEarlier = armed == null || atMilliseconds < armed
        if (!isEarlier || atMilliseconds == Long.MAX_VALUE) return
        armedMilliseconds = atMilliseconds
        actions.emit(EntryEffect.ScheduleWake(requestId, atMilliseconds))
    }

    fun onFired() {
        armedMilliseconds = null
    }
}
