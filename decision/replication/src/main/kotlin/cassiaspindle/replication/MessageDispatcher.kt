package cassiaspindle.replication

import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage

/** The parts of a replica that handle messages. */
internal data class MessageReceivers(
    val election: Election,
    val handOver: HandOver,
    val appendReceiver: AppendReceiver,
    val membershipManager: MembershipManager,
)

/** Passes each message from a peer to the part of the replica that handles it. */
internal class MessageDispatcher(
    private val state: ReplicaState,
    private val leadership: Leadership,
    private val receivers: MessageReceivers,
) {
    /** Handles [message]; drops one that is addressed to another identity of this replica. */
    fun dispatch(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        if (message.to != state.self && message.kind != ReplicationKind.JOIN) return
        if (message.kind in REPLY_KINDS && message.term > state.term) leadership.becomeFollower(message.term, output)
        when (message.kind) {
            ReplicationKind.APPEND -> receivers.appendReceiver.receiveAppend(message, nowMilliseconds, output)
            ReplicationKind.SNAPSHOT -> receivers.appendReceiver.receiveSnapshot(message, nowMilliseconds, output)
            ReplicationKind.APPEND_REPLY -> leadership.receiveReply(message, nowMilliseconds, output)
            ReplicationKind.JOIN -> receivers.membershipManager.addLearner(message.from, nowMilliseconds, output)
            ReplicationKind.HAND_OVER -> receivers.handOver.receive(message, nowMilliseconds)
            ReplicationKind.PRE_VOTE -> {
                receivers.election.receive(message, nowMilliseconds, output)
                receivers.membershipManager.addReturningVoter(message, nowMilliseconds, output)
            }
            ReplicationKind.PRE_VOTE_REPLY, ReplicationKind.VOTE, ReplicationKind.VOTE_REPLY,
            -> receivers.election.receive(message, nowMilliseconds, output)
        }
    }

    private companion object {
        val REPLY_KINDS = setOf(
            ReplicationKind.APPEND_REPLY,
            ReplicationKind.VOTE_REPLY,
            ReplicationKind.PRE_VOTE_REPLY,
        )
    }
}
