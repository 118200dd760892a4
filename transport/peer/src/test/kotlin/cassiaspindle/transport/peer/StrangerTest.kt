package cassiaspindle.transport.peer

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import java.io.DataOutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Clients of a peer server that don't have the key. */
class StrangerTest : AnnotationSpec() {
    private val connectionScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val settings = PeerSettings("server", "key", LARGE_FRAME_BYTES, maximumPendingConnections = 1)
    private val frames = LinkedBlockingQueue<PeerFrame>()
    private val refusalCodes = LinkedBlockingQueue<ResultCode>()
    private val address = HostAndPort("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val handlers = PeerHandlers({ _, frame -> frames.add(frame) }, { refusalCodes.add(it.code) })
    private val selector = newSelector()
    private val server = PeerServer.start(address, settings, selector, connectionScope, handlers)

    @BeforeEach
    fun forget() {
        frames.clear()
        refusalCodes.clear()
    }

    @AfterAll
    fun stop() {
        server.close()
        selector.close()
        connectionScope.cancel()
    }

    @Test
    fun `a first frame of the size of a later one is refused by its length alone`() = connect { socket ->
        DataOutputStream(socket.getOutputStream()).writeInt(LARGE_FRAME_BYTES)
        refusalCodes.poll(WAIT_SECONDS, TimeUnit.SECONDS) shouldBe ResultCode.TOO_LARGE
    }

    @Test
    fun `a silent stranger makes room for a process of the system`() = connect { silent ->
        val client = PeerClient("server", address, settings, selector) {}
        val connected = client.start(connectionScope)
        refusalCodes.poll(WAIT_SECONDS, TimeUnit.SECONDS) shouldBe ResultCode.OVERLOADED
        silent.getInputStream().read() shouldBe -1
        while (frames.isEmpty()) {
            client.send(PeerFrame(PeerFrameKind.HEARTBEAT, sender = "process"))
            frames.poll(POLL_MILLISECONDS, TimeUnit.MILLISECONDS)?.let(frames::add)
        }
        frames.take().sender shouldBe "process"
        connected.cancel()
    }

    private fun connect(block: (Socket) -> Unit) = Socket(address.host, address.port).use { socket ->
        socket.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
        block(socket)
    }

    private companion object {
        const val LARGE_FRAME_BYTES = 1_048_576
        const val WAIT_SECONDS = 20L
        const val POLL_MILLISECONDS = 50L
    }
}
