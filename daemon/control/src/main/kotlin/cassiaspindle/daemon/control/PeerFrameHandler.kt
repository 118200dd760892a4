package cassiaspindle.daemon.control

import cassiaspindle.control.group.ControlReplica
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.transport.peer.PeerConnection

/** Handles the frames of other replicas and of entry VMs. */
internal class PeerFrameHandler(
    private val performer: ControlReplicaDriver,
    private val identityChoice: BootstrapCoordinator,
) {
    fun received(connection: PeerConnection, frame: PeerFrame) {
        val node = performer.controlReplica
        if (frame.kind == PeerFrameKind.PRESENCE) connection.send(identityChoice.presence(node?.membership()))
        if (node != null) serve(node, connection, frame)
    }

    private fun serve(node: ControlReplica, connection: PeerConnection, frame: PeerFrame) {
        frame.replication?.let(performer::receive)
        frame.heartbeat?.let { heartbeat ->
            val news = node.leases.heartbeat(heartbeat, performer.now())
            if (news != null) connection.send(PeerFrame(PeerFrameKind.NEWS, news = news))
        }
        frame.command?.let { command ->
            performer.submit(command) { outcome, leader -> connection.send(reply(node, frame, outcome, leader)) }
        }
        frame.orderName?.let { name ->
            connection.send(reply(node, frame, node.reads.order(name, performer.now()), leader = null))
        }
    }

    /** Creates the reply to [asked]; it reports an order in progress as in doubt if its entry VM has no lease. */
    private fun reply(node: ControlReplica, asked: PeerFrame, outcome: CommandOutcome, leader: String?): PeerFrame {
        val order = outcome.order?.let { it.copy(state = node.reads.stateOf(it, performer.now())) }
        return PeerFrame(
            kind = PeerFrameKind.COMMAND_REPLY,
            correlation = asked.correlation,
            outcome = outcome.copy(order = order),
            leader = leader,
        )
    }
}
