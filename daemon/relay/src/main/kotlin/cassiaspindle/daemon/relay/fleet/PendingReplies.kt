package cassiaspindle.daemon.relay.fleet

import cassiaspindle.schema.PeerFrame
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** A reply that has not arrived yet. */
internal data class PendingReply(val correlation: Long, val frame: CompletableDeferred<PeerFrame>)

/** Pending replies by correlation number. */
internal class PendingReplies {
    private val waiting = ConcurrentHashMap<Long, CompletableDeferred<PeerFrame>>()
    private val nextCorrelation = AtomicLong()

    /** Registers a pending reply under a new correlation number. */
    fun expect(): PendingReply {
        val expected = PendingReply(nextCorrelation.incrementAndGet(), CompletableDeferred())
        waiting[expected.correlation] = expected.frame
        return expected
    }

    /** Removes the pending reply of [correlation]. */
    fun forget(correlation: Long) {
        waiting.remove(correlation)
    }

    /** Completes the pending reply that [reply] belongs to. */
    fun take(reply: PeerFrame) {
        waiting.remove(reply.correlation)?.complete(reply)
    }
}
