package cassiaspindle.daemon.relay.fleet

import cassiaspindle.schema.PeerFrame
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The frames that wait for a reply, by correlation. */
internal class ReplyDesk {
    private val waiting = ConcurrentHashMap<Long, CompletableDeferred<PeerFrame>>()
    private val nextCorrelation = AtomicLong()

    /** Gives out a correlation and what its reply completes. */
    fun expect(): Pair<Long, CompletableDeferred<PeerFrame>> {
        val correlation = nextCorrelation.incrementAndGet()
        val reply = CompletableDeferred<PeerFrame>()
        waiting[correlation] = reply
        return correlation to reply
    }

    /** Waits no more for the reply to [correlation]. */
    fun forget(correlation: Long) {
        waiting.remove(correlation)
    }

    /** Hands [reply] to the one who waits for it. */
    fun take(reply: PeerFrame) {
        waiting.remove(reply.correlation)?.complete(reply)
    }
}
