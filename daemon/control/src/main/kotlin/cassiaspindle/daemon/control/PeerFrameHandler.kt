package cassiaspindle.daemon.control

import cassiaspindle.control.group.ControlReplica
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.transport.peer.PeerConnection

/** Handles the frames of other replicas and of entry VMs. */
internal class PeerFrameHandler(
    private val driver: ControlReplicaDriver,
    private val bootstrapCoordinator: BootstrapCoordinator,
) {
    fun receive(connection: PeerConnection, frame: PeerFrame) {
        val replica = driver.controlReplica
        if (frame.kind == PeerFrameKind.PRESENCE) connection.send(bootstrapCoordinator.presence(replica?.membership()))
        if (replica != null) dispatch(replica, connection, frame)
    }

    private fun dispatch(replica: ControlReplica, connection: PeerConnection, frame: PeerFrame) {
        frame.replication?.let(driver::receive)
        frame.heartbeat?.let { heartbeat ->
            val news = replica.leases.receiveHeartbeat(heartbeat, driver.now())
            if (news != null) connection.send(PeerFrame(PeerFrameKind.NEWS, news = news))
        }
        frame.command?.let { command ->
            driver.submit(command) { outcome, leader -> connection.send(reply(replica, frame, outcome, leader)) }
        }
        frame.orderName?.let { name ->
            connection.send(reply(replica, frame, replica.reads.order(name, driver.now()), leader = null))
        }
    }

    /** Creates the reply to [request]; it reports an order in progress as in doubt if its entry VM has no lease. */
    private fun reply(
        replica: ControlReplica,
        request: PeerFrame,
        outcome: CommandOutcome,
        leader: String?,
    ): PeerFrame {
        val order = outcome.order?.let { it.copy(state = replica.reads.orderStateOf(it, driver.now())) }
        return PeerFrame(
            kind = PeerFrameKind.COMMAND_REPLY,
            correlation = request.correlation,
            outcome = outcome.copy(order = order),
            leader = leader,
        )
    }
}
