package cassiaspindle.transport.peer

import cassiaspindle.codec.encodeCbor
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class PeerServerTest : AnnotationSpec() {
    private val connectionScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val settings = PeerSettings("server", "right key", MAXIMUM_BYTES)
    private val frames = LinkedBlockingQueue<PeerFrame>()
    private val refusalCodes = LinkedBlockingQueue<ResultCode>()
    private val address = HostAndPort("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val handlers = PeerHandlers({ _, frame -> frames.add(frame) }, { refusalCodes.add(it.code) })
    private val selector = newSelector()
    private val server = PeerServer.start(address, settings, selector, connectionScope, handlers)

    @AfterAll
    fun stop() {
        server.close()
        selector.close()
        connectionScope.cancel()
    }

    @Test
    fun `an invalid first frame is reported with its result code and valid clients can still send`() {
        val client = PeerClient("server", address, settings, selector) {}
        val connected = client.start(connectionScope)
        val firstFrames = mapOf(
            framed(encodeCbor(PeerFrame(PeerFrameKind.HELLO, key = "wrong key"))) to ResultCode.UNAUTHENTICATED,
            framed(encodeCbor(PeerFrame(PeerFrameKind.HELLO))) to ResultCode.UNAUTHENTICATED,
            framed(encodeCbor(PeerFrame(PeerFrameKind.HEARTBEAT))) to ResultCode.UNAUTHENTICATED,
            framed(byteArrayOf(1, 2, 3)) to ResultCode.MALFORMED,
            framed(ByteArray(0)) to ResultCode.MALFORMED,
            framed(ByteArray(MAXIMUM_BYTES + 1)) to ResultCode.TOO_LARGE,
            byteArrayOf(-1, -1, -1, -1) to ResultCode.MALFORMED,
        )
        for ((bytes, code) in firstFrames) {
            send(bytes)
            refusalCodes.poll(WAIT_SECONDS, TimeUnit.SECONDS) shouldBe code
        }
        sendUntilReceived(client, PeerFrame(PeerFrameKind.HEARTBEAT, sender = "good"))
        frames.take().sender shouldBe "good"
        connected.cancel()
    }

    private fun sendUntilReceived(client: PeerClient, frame: PeerFrame) {
        while (frames.isEmpty()) {
            client.send(frame)
            frames.poll(50, TimeUnit.MILLISECONDS)?.let(frames::add)
        }
    }

    private fun send(bytes: ByteArray) = Socket(address.host, address.port).use { socket ->
        socket.getOutputStream().write(bytes)
        socket.getOutputStream().flush()
        socket.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
        socket.getInputStream().readAllBytes().shouldNotBeNull()
    }

    private fun framed(content: ByteArray): ByteArray {
        val bytes = ByteArrayOutputStream()
        DataOutputStream(bytes).apply {
            writeInt(content.size)
            write(content)
        }
        return bytes.toByteArray()
    }

    private companion object {
        const val MAXIMUM_BYTES = 4_096
        const val WAIT_SECONDS = 20L
    }
}
