package cassiaspindle.daemon.relay

import cassiaspindle.core.concurrency.seededRandom
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.relay.control.LocalReplica
import cassiaspindle.daemon.relay.control.ReplicaEnvironment
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.schema.RelaySettings
import com.github.michaelbull.result.Err
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import java.io.IOException
import java.io.OutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.seconds

class ReplicaSupervisorTest : AnnotationSpec() {
    private val log = EventLog(PrintStream(OutputStream.nullOutputStream())) { 0 }
    private val folder = Files.createTempDirectory("replica").toString()
    private val settings = RelaySettings(
        name = "one",
        availabilityZone = "a",
        callerAddress = "h:1",
        readyAddress = "h:2",
        controlAddress = "h:3",
        discoveryAddress = "h:4",
        peerAddress = "h:5",
        seedPeerAddresses = listOf("h:5"),
        foundsSystem = true,
    )

    private fun open(onFailed: (Failure) -> Unit) = LocalReplica.open(
        settings,
        folder,
        ReplicaEnvironment(
            clock = Clock.system,
            random = seededRandom(1),
            send = { _, _ -> },
            replicas = { emptySet() },
            onProcessed = {},
            onDiskFailed = onFailed,
        ),
    )

    @Test
    suspend fun `a replica is opened again after a disk error that its opening did not expect`() {
        val opens = AtomicInteger()
        val supervisor = ReplicaSupervisor(log) { onFailed ->
            if (opens.getAndIncrement() == 0) throw IOException("the disk took no more bytes")
            open(onFailed)
        }
        supervisor.start()
        eventually(5.seconds) { supervisor.replica?.driver?.controlReplica?.membership() shouldNotBe null }
        supervisor.close(timeoutMilliseconds = 1_000)
    }

    @Test
    suspend fun `a replica is reopened with the same identity once its failed disk works again`() {
        val failDisk = AtomicReference<(Failure) -> Unit>()
        val opens = AtomicInteger()
        val supervisor = ReplicaSupervisor(log) { onFailed ->
            failDisk.set(onFailed)
            val isFull = opens.getAndIncrement() == 1
            if (isFull) Err(Failure(ResultCode.SYNC_FAILED)) else open(onFailed)
        }
        supervisor.start()
        eventually(5.seconds) { supervisor.replica?.driver?.controlReplica?.membership() shouldNotBe null }
        val identity = supervisor.replica?.self
        failDisk.get()(Failure(ResultCode.SYNC_FAILED))
        eventually(5.seconds) { supervisor.replica shouldBe null }
        eventually(5.seconds) {
            supervisor.replica?.driver?.controlReplica?.membership()?.voters shouldBe listOf(identity)
        }
        opens.get() shouldBe 3
        supervisor.close(timeoutMilliseconds = 1_000)
    }
}
