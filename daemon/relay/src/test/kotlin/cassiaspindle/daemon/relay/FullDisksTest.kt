package cassiaspindle.daemon.relay

import cassiaspindle.core.concurrency.seededRandom
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.relay.control.LocalReplica
import cassiaspindle.daemon.relay.control.ReplicaEnvironment
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.RelaySettings
import cassiaspindle.schema.StoredConfiguration
import cassiaspindle.storage.FolderFiles
import cassiaspindle.storage.diskFiles
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import java.io.IOException
import java.io.OutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

class FullDisksTest : AnnotationSpec() {
    private val log = EventLog(PrintStream(OutputStream.nullOutputStream())) { 0 }

    @Test
    suspend fun `after the disks of three replicas were full one after another, a change is stored`() {
        listOf(listOf(0, 1, 2), listOf(2, 0, 1), listOf(LEADER, LEADER, LEADER)).forEach { order ->
            fillDisksInTurn(replicas = 3, order)
        }
    }

    @Test
    suspend fun `after the disks of five replicas were full one after another, a change is stored`() {
        fillDisksInTurn(replicas = 5, List(5) { LEADER })
        fillDisksInTurn(replicas = 5, listOf(0, 1, 2, 3, 4))
    }

    /** Fills the disks in [order], by index or of the [LEADER], while changes are sent, and asks for a last one. */
    private suspend fun fillDisksInTurn(replicas: Int, order: List<Int>) {
        val group = Group(replicas)
        try {
            eventually(20.seconds) { group.change() shouldBe ResultCode.OK.number }
            order.forEach { chosen ->
                val machine = if (chosen == LEADER) group.leader() ?: group.machines[0] else group.machines[chosen]
                machine.isFull.set(true)
                repeat(CHANGES_WHILE_FULL) { group.change() }
                machine.isFull.set(false)
                repeat(CHANGES_BETWEEN) { group.change() }
            }
            withClue("order $order of $replicas") {
                eventually(20.seconds) { group.change() shouldBe ResultCode.OK.number }
                eventually(20.seconds) { group.machines.forEach { it.supervisor.replica shouldNotBe null } }
            }
        } finally {
            group.close()
        }
    }

    private inner class Group(count: Int) {
        val machines = List(count) { Machine("h:${FIRST_PORT + it}", this) }
        val byPeer = ConcurrentHashMap(machines.associateBy { it.peer })
        private var version = 0L

        init {
            machines.forEach { it.supervisor.start() }
        }

        fun leader(): Machine? = machines.firstOrNull { machine ->
            machine.supervisor.replica?.driver?.controlReplica?.reads?.isLeader() == true
        }

        /** Asks all machines in turn to store the next configuration; the code of the last one that decided. */
        fun change(): Int? {
            version++
            exchangePresences()
            Thread.sleep(CHANGE_PAUSE_MILLISECONDS)
            return machines.firstNotNullOfOrNull { machine ->
                machine.submit(version).takeIf { it == ResultCode.OK.number }
            }
        }

        fun close() = machines.forEach(Machine::close)

        private fun exchangePresences() = machines.forEach { sender ->
            val presence = sender.presence() ?: return@forEach
            (machines - sender).forEach { receiver -> receiver.receivePresence(presence) }
        }
    }

    private inner class Machine(val peer: String, private val group: Group) {
        val isFull = AtomicBoolean()
        private val inbox = Executors.newSingleThreadExecutor()
        private val folder = Files.createTempDirectory("full-disk")
        private val settings = RelaySettings(
            name = peer,
            availabilityZone = "a",
            callerAddress = "h:1",
            readyAddress = "h:2",
            controlAddress = "h:3",
            discoveryAddress = "h:4",
            peerAddress = peer,
            seedPeerAddresses = List(SEEDS) { "h:${FIRST_PORT + it}" },
            foundsSystem = true,
        )
        val supervisor = ReplicaSupervisor(log) { onFailed ->
            val random = seededRandom(peer.hashCode().toLong())
            val environment = ReplicaEnvironment(
                clock = Clock.system,
                random = random,
                send = { receiver, frame -> group.byPeer[receiver]?.receive(frame) },
                replicas = { group.byPeer.keys - peer },
                onProcessed = {},
                onDiskFailed = onFailed,
                openFiles = { path -> withFullDisk(diskFiles(path)) },
            )
            LocalReplica.open(settings, folder.toString(), environment)
        }

        fun submit(version: Long): Int? {
            val code = CompletableFuture<Int>()
            val stored = StoredConfiguration(version, "content $version")
            val command = ControlCommand(ControlCommandKind.APPLY_CONFIGURATION, configuration = stored)
            supervisor.replica?.driver?.submit(command) { outcome, _ -> code.complete(outcome.code) }
            return runCatching { code.get(SUBMIT_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS) }.getOrNull()
        }

        fun presence(): PeerFrame? = supervisor.replica?.let { replica ->
            replica.bootstrapCoordinator.presence(replica.driver.controlReplica?.membership())
        }

        fun receivePresence(presence: PeerFrame) {
            supervisor.replica?.takeIf { it.isBootstrapPending }?.bootstrapCoordinator?.receivePresence(presence)
        }

        fun receive(frame: PeerFrame) {
            runCatching { inbox.execute { frame.replication?.let { supervisor.replica?.driver?.receive(it) } } }
        }

        fun close() {
            supervisor.close(timeoutMilliseconds = 1_000)
            inbox.shutdownNow()
            folder.toFile().deleteRecursively()
        }

        /** A full disk takes no bytes; files can be opened, truncated and read. */
        private fun withFullDisk(files: FolderFiles) = files.copy(
            open = { name, length ->
                val file = files.open(name, length)
                file.copy(append = { bytes ->
                    if (isFull.get()) {
                        file.append(bytes.copyOf(bytes.size / 2))
                        throw IOException("No space left on device")
                    }
                    file.append(bytes)
                })
            },
        )
    }

    private companion object {
        const val LEADER = -1
        const val FIRST_PORT = 10
        const val SEEDS = 3
        const val CHANGES_WHILE_FULL = 12
        const val CHANGES_BETWEEN = 3
        const val CHANGE_PAUSE_MILLISECONDS = 60L
        const val SUBMIT_TIMEOUT_MILLISECONDS = 150L
    }
}
