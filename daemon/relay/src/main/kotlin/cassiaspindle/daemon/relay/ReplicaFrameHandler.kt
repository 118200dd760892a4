package cassiaspindle.daemon.relay

import cassiaspindle.daemon.relay.control.LocalReplica
import cassiaspindle.daemon.relay.fleet.FleetPublisher
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.transport.peer.PeerConnection

/** Handles frames from other processes. A process without a control replica answers presence frames only. */
internal class ReplicaFrameHandler(
    private val hub: FleetPublisher,
    private val replica: () -> LocalReplica?,
    private val presence: () -> PeerFrame,
    private val onPresence: (peer: String, frame: PeerFrame) -> Unit,
) {
    /** Handles [frame] and replies on [connection]. */
    fun received(connection: PeerConnection, frame: PeerFrame) {
        if (frame.kind == PeerFrameKind.PRESENCE) {
            onPresence(frame.sender.orEmpty(), frame)
            connection.send(presence())
        }
        replica()?.let { serve(it, connection, frame) }
    }

    private fun serve(replica: LocalReplica, connection: PeerConnection, frame: PeerFrame) {
        frame.replication?.let(replica.performer::receive)
        frame.entryPresence?.let { hub.receivePresence(it, connection::sendShared) }
        frame.runnerNotice?.let {
            hub.receiveNotice(it)
            connection.send(PeerFrame(PeerFrameKind.RUNNER_NOTICE_REPLY, correlation = frame.correlation))
        }
        frame.command?.let { command ->
            replica.performer.submit(command) { outcome, leader -> connection.send(reply(frame, outcome, leader)) }
        }
    }

    private fun reply(asked: PeerFrame, outcome: CommandOutcome, leader: String?) = PeerFrame(
        kind = PeerFrameKind.COMMAND_REPLY,
        correlation = asked.correlation,
        outcome = outcome,
        leader = leader,
    )
}
