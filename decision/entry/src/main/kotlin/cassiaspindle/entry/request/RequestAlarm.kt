package cassiaspindle.entry.request

/** Keeps one timer of a request armed, and moves it only towards the present. */
internal class RequestAlarm(private val start: RequestStart, private val steps: MutableList<RequestStep>) {
    private var armedMilliseconds: Long? = null

    fun arm(atMilliseconds: Long) {
        val armed = armedMilliseconds
        if (armed != null && armed <= atMilliseconds) return
        armedMilliseconds = atMilliseconds
        steps += RequestStep.Outward(EntryEffect.WakeAt(start.requestId, atMilliseconds))
    }

    fun fired() {
        armedMilliseconds = null
    }
}
