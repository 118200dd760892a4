package cassiaspindle.daemon.relay.fleet

import cassiaspindle.schema.PeerFrame
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** A reply that is waited for. */
internal data class PendingReply(val correlation: Long, val frame: CompletableDeferred<PeerFrame>)

/** The frames that wait for a reply, by correlation. */
internal class PendingReplies {
    private val waiting = ConcurrentHashMap<Long, CompletableDeferred<PeerFrame>>()
    private val nextCorrelation = AtomicLong()

    /** Gives out a correlation and what its reply completes. */
    fun expect(): PendingReply {
        val expected = PendingReply(nextCorrelation.incrementAndGet(), CompletableDeferred())
        waiting[expected.correlation] = expected.frame
        return expected
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
