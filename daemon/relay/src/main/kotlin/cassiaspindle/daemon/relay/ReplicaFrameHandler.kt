package cassiaspindle.daemon.relay

import cassiaspindle.daemon.relay.control.LocalReplica
import cassiaspindle.daemon.relay.fleet.FleetPublisher
import cassiaspindle.daemon.relay.fleet.ReportConnection
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.transport.peer.PeerConnection

/** Handles frames from other processes. A process without a control replica handles presence frames only. */
internal class ReplicaFrameHandler(
    private val publisher: FleetPublisher,
    private val replica: () -> LocalReplica?,
    private val presenceFrame: () -> PeerFrame,
    private val onPresenceFrame: (peer: String, frame: PeerFrame) -> Unit,
) {
    /** Handles [frame] and replies on [connection]. */
    fun handle(connection: PeerConnection, frame: PeerFrame) {
        if (frame.kind == PeerFrameKind.PRESENCE) {
            onPresenceFrame(frame.sender.orEmpty(), frame)
            connection.send(presenceFrame())
        }
        replica()?.let { handleAtReplica(it, connection, frame) }
    }

    private fun handleAtReplica(replica: LocalReplica, connection: PeerConnection, frame: PeerFrame) {
        frame.replication?.let(replica.driver::receive)
        val reportConnection = ReportConnection(connection.number, connection::sendShared)
        frame.entryPresence?.let { publisher.receiveEntryPresence(it, reportConnection) }
        frame.fleetNews?.let(publisher::receiveRelay)
        frame.crashEvidence?.let(publisher::receiveEvidence)
        frame.runnerNotice?.let {
            publisher.receiveNotice(it)
            connection.send(PeerFrame(PeerFrameKind.RUNNER_NOTICE_REPLY, correlation = frame.correlation))
        }
        frame.command?.let { command ->
            replica.driver.submit(command) { outcome, leader -> connection.send(commandReply(frame, outcome, leader)) }
        }
    }

    private fun commandReply(request: PeerFrame, outcome: CommandOutcome, leader: String?) = PeerFrame(
        kind = PeerFrameKind.COMMAND_REPLY,
        correlation = request.correlation,
        outcome = outcome,
        leader = leader,
    )
}
