package cassiaspindle.daemon.relay.fleet

import cassiaspindle.schema.PeerFrame
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** A reply that has not arrived yet. */
internal data class PendingReply(val correlation: Long, val frame: CompletableDeferred<PeerFrame>)

/** Pending replies by correlation number. */
internal class PendingReplies {
    private val replies = ConcurrentHashMap<Long, CompletableDeferred<PeerFrame>>()
    private val nextCorrelation = AtomicLong()

    /** Registers a pending reply under a new correlation number. */
    fun register(): PendingReply {
        val pending = PendingReply(nextCorrelation.incrementAndGet(), CompletableDeferred())
        replies[pending.correlation] = pending.frame
        return pending
    }

    /** Removes the pending reply of [correlation]. */
    fun remove(correlation: Long) {
        replies.remove(correlation)
    }

    /** Completes the pending reply that [reply] belongs to. */
    fun complete(reply: PeerFrame) {
        replies.remove(reply.correlation)?.complete(reply)
    }
}
