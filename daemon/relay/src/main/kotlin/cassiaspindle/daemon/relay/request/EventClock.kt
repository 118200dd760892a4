package cassiaspindle.daemon.relay.request

import cassiaspindle.relay.route.ChainPulse

/** Reports the events of one stream to the pulse of its [chain], or to nobody where there is none. */
internal class EventClock(
    private val pulse: ChainPulse,
    private val chain: String?,
    private val now: () -> Long,
) {
    private var heardMilliseconds: Long? = null

    /** An event came. */
    fun heard() {
        if (chain == null) return
        val time = now()
        val before = heardMilliseconds
        if (before == null) pulse.begin(chain, time) else pulse.heard(chain, time - before, time)
        heardMilliseconds = time
    }

    /** No event comes any more. */
    fun end() {
        if (chain != null && heardMilliseconds != null) pulse.end(chain)
    }
}
