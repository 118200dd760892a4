package cassiaspindle.daemon.relay.fleet

import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.PeerConnection
import cassiaspindle.transport.peer.PeerHandlers
import cassiaspindle.transport.peer.PeerServer
import cassiaspindle.transport.peer.PeerSettings
import cassiaspindle.transport.peer.newSelector
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

class CommandClientTest : AnnotationSpec() {
    private val peerScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = newSelector()
    private val servers = mutableListOf<PeerServer>()
    private val command = ControlCommand(ControlCommandKind.READ_CONFIGURATION)

    @AfterAll
    fun stop() {
        servers.forEach(PeerServer::close)
        peerScope.cancel()
        selector.close()
    }

    private fun settings(name: String) = PeerSettings(name, "key", MAXIMUM_BYTES)

    /** Starts a replica that replies to commands with [code] and [leader], or not at all; returns its address. */
    private fun startReplica(code: ResultCode?, leader: String? = null): String {
        val address = HostAndPort("127.0.0.1", ServerSocket(0).use { it.localPort })
        val handleFrame = { connection: PeerConnection, frame: PeerFrame ->
            if (code != null && frame.kind == PeerFrameKind.COMMAND) {
                val outcome = CommandOutcome(code.number)
                val kind = PeerFrameKind.COMMAND_REPLY
                connection.send(PeerFrame(kind, correlation = frame.correlation, outcome = outcome, leader = leader))
            }
        }
        val handlers = PeerHandlers(handleFrame, onRefused = {})
        servers += PeerServer.start(address, settings(address.toString()), selector, peerScope, handlers)
        return address.toString()
    }

    private suspend fun connectedClient(replicas: Set<String>): CommandClient {
        val now = Clock.system.monotonicMilliseconds
        val handlers = ReplicaMessageHandlers({ _, _ -> }, { _, _ -> }, { _, _ -> }, { _, _ -> }, { 0 })
        val replicaConnections = ReplicaConnections(settings("self"), selector, peerScope, handlers, now)
        replicaConnections.connectTo(replicas, replicas)
        eventually(5.seconds) { replicaConnections.connectedReplicas().size shouldBe replicas.size }
        return CommandClient(replicaConnections, now)
    }

    @Test
    suspend fun `a command is decided within its time limit although one replica does not reply`() {
        val leader = startReplica(ResultCode.OK)
        repeat(2) {
            val replicas = setOf(leader, startReplica(code = null), startReplica(ResultCode.NOT_LEADER, leader))
            val client = connectedClient(replicas)
            repeat(3) { client.submit(command, CALL_MILLISECONDS).outcome?.code shouldBe ResultCode.OK.number }
        }
    }

    @Test
    suspend fun `the result of an undecided command names the replica asked last and its code`() {
        val follower = startReplica(ResultCode.NOT_LEADER)
        val result = connectedClient(setOf(follower)).submit(command, CALL_MILLISECONDS)
        result.outcome shouldBe null
        result.lastReplica shouldBe follower
        result.undecidedCode shouldBe ResultCode.NOT_LEADER.number
    }

    private companion object {
        const val MAXIMUM_BYTES = 1024 * 1024
        const val CALL_MILLISECONDS = 900L
    }
}
