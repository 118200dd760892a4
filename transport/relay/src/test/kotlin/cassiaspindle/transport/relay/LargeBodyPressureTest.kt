package cassiaspindle.transport.relay

import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.newSelector
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Large bodies that don't come compete with a whole one for the memory of a server. */
class LargeBodyPressureTest : AnnotationSpec() {
    private val port = ServerSocket(0).use { it.localPort }
    private val selector = newSelector()
    private val guard = testGuard(bodyBytes = BUDGET_BYTES)
    private val server = RelayServer.start(
        mapOf(HostAndPort("127.0.0.1", port) to ::serve),
        selector,
        CoroutineScope(SupervisorJob() + Dispatchers.Default),
        guard,
    )

    private suspend fun serve(call: RelayCall) = try {
        call.respond(head(status = 200), "${call.readBody(BODY_BYTES)?.size}".encodeToByteArray())
    } catch (_: BufferBudgetExceededException) {
        call.respond(head(status = 503), ByteArray(0))
    }

    private fun head(status: Int) = ResponseHead(status, "status", listOf(Header("Connection", "close")))

    @AfterAll
    fun stop() {
        server.close()
        selector.close()
    }

    @Test
    fun `bodies that were announced and don't come leave room for a whole one`() {
        val announced = List(ANNOUNCERS) { announce() }
        awaitHeldBytes(1)
        Thread.sleep(SETTLE_MILLISECONDS)
        sendWhole() shouldBe "HTTP/1.1 200 status"
        announced.forEach { it.close() }
    }

    @Test
    fun `a large body of which a byte comes now and then gives way to a whole one`() {
        val slow = announce()
        slow.getOutputStream().write(ByteArray(SLOW_BYTES))
        awaitHeldBytes(BODY_BYTES.toLong())
        val trickle = thread { trickle(slow) }
        Thread.sleep(STALL_MILLISECONDS)
        // The first try ends the slow body, whose memory is free when its connection has closed.
        val answers = List(TRIES) { sendWhole().also { Thread.sleep(SETTLE_MILLISECONDS) } }
        slow.close()
        trickle.join()
        answers.last() shouldBe "HTTP/1.1 200 status"
    }

    private fun trickle(socket: Socket) = try {
        repeat(TRICKLED_BYTES) {
            socket.getOutputStream().write(1)
            Thread.sleep(TRICKLE_MILLISECONDS)
        }
    } catch (_: IOException) {
        // The server or the test has closed the connection.
    }

    private fun announce() = Socket("127.0.0.1", port).apply {
        getOutputStream().write("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: $BODY_BYTES\r\n\r\n".toByteArray())
    }

    /** Sends a whole body of the largest size; returns the status line. */
    private fun sendWhole(): String = announce().use { socket ->
        socket.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
        runCatching { socket.getOutputStream().write(ByteArray(BODY_BYTES)) }
        runCatching { socket.getInputStream().bufferedReader().readLine() }.getOrNull().orEmpty()
    }

    private fun awaitHeldBytes(bytes: Long) {
        while (guard.bodyBudget.heldBytes < bytes) {
            Thread.sleep(TRICKLE_MILLISECONDS)
        }
    }

    private companion object {
        /** Room for one whole body and some small ones. */
        const val BUDGET_BYTES = 6L * 1024 * 1024
        const val BODY_BYTES = 4 * 1024 * 1024
        const val ANNOUNCERS = 10

        /** More than a caller may send before the whole length is reserved. */
        const val SLOW_BYTES = 80 * 1024
        const val SETTLE_MILLISECONDS = 200L
        const val STALL_MILLISECONDS = 2_000L
        const val TRICKLE_MILLISECONDS = 50L
        const val TRICKLED_BYTES = 200
        const val TRIES = 3
        const val WAIT_SECONDS = 20L
    }
}
