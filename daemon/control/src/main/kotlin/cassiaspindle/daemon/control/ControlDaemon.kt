package cassiaspindle.daemon.control

import cassiaspindle.codec.Keys
import cassiaspindle.control.group.ControlReplica
import cassiaspindle.control.group.ControlReplicaSettings
import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.schema.ControlSettings
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.schema.Replica
import cassiaspindle.storage.DataFolder
import cassiaspindle.storage.DurableLog
import cassiaspindle.storage.OpenedLog
import cassiaspindle.transport.http.operator.controlRoutes
import cassiaspindle.transport.http.server.HttpServer
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.http.server.newClientGuard
import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.PeerClient
import cassiaspindle.transport.peer.PeerHandlers
import cassiaspindle.transport.peer.PeerServer
import cassiaspindle.transport.peer.PeerSettings
import cassiaspindle.transport.peer.newSelector
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import io.micrometer.core.instrument.Gauge
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.tinylog.kotlin.Logger
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

private const val PRESENCE_INTERVAL_MILLISECONDS = 100L
private const val SNAPSHOT_EVERY_ENTRIES = 5_000
private const val TICKS_PER_ELECTION_TIMEOUT = 6L

/** What a control daemon needs besides its settings. */
data class ControlEnvironment(
    val keys: Keys,
    val clock: Clock,
    val random: RandomSource,
    /** Called after a disk failure; the process must stop. */
    val onFatal: (Failure) -> Unit,
)

/** Runs a control replica: carries out the effects of [ControlReplica] on the network and the disk. */
class ControlDaemon private constructor(
    private val settings: ControlSettings,
    private val environment: ControlEnvironment,
    private val dataFolder: DataFolder,
    private val openedLog: OpenedLog,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = newSelector()
    private val timer: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "control-timer").apply { isDaemon = true }
    }
    private val metrics = Metrics()
    private val replicaNames = settings.replicas.map { it.name }
    private val ownAddress = settings.replicas.first { it.name == settings.name }
    private val self = Replica(settings.name, dataFolder.identity())
    private val bootstrapCoordinator = BootstrapCoordinator(self, replicaNames)
    private val peerSettings = PeerSettings(
        settings.name,
        environment.keys.system,
        settings.maximumMessageBytes,
        onSent = metrics::countPeerBytes,
    )
    private val peerClients = settings.replicas
        .filter { it != ownAddress }
        .associate { peer ->
            val address = HostAndPort.parse(peer.peerAddress)
            peer.name to PeerClient(peer.name, address, peerSettings, selector, ::receiveFrame)
        }
    private val driver = ControlReplicaDriver(
        environment.clock,
        FrameSenders(
            toReplica = { name, frame -> peerClients[name]?.send(frame) },
            toEntries = { frame -> peerServer.broadcast(frame) },
        ),
    )
    private val logWriter = driver.newLogWriter(openedLog.log, environment.onFatal)
    private val peerServer: PeerServer = PeerServer.start(
        HostAndPort.parse(ownAddress.peerAddress),
        peerSettings,
        selector,
        scope,
        PeerHandlers(PeerFrameHandler(driver, bootstrapCoordinator)::receive, onRefused = { metrics.count(it.code) }),
    )
    private val operatorHandler = OperatorRequestHandler(settings, environment, metrics, driver)
    private val clientGuard =
        newClientGuard(settings.clientLimits, metrics, environment.clock.monotonicMilliseconds)
    private val httpServer = HttpServer.start(HostAndPort.parse(ownAddress.operatorAddress), metrics, clientGuard) {
        controlRoutes(operatorHandler.handlers())
    }

    /** Whether this replica is the leader of the group of the service documents, with a valid lease. */
    val isDocumentGroupLeader: Boolean
        get() = driver.controlReplica?.reads?.canReadDocuments(driver.now()) ?: false

    /** Number of log syncs so far. */
    val syncCount: Long get() = logWriter.syncCount

    /** Length of the log in bytes. */
    val logBytes: Long get() = logWriter.lengthBytes

    init {
        Gauge.builder("cassiaspindle.log.syncs", logWriter) { it.syncCount.toDouble() }.register(metrics.registry)
        Gauge.builder("cassiaspindle.log.bytes", logWriter) { it.lengthBytes.toDouble() }.register(metrics.registry)
    }

    /** Stops the daemon after all queued records are durable. */
    fun close() {
        timer.shutdownNow()
        httpServer.close()
        peerServer.close()
        scope.cancel()
        selector.close()
        if (driver.controlReplica != null) logWriter.close()
        dataFolder.close()
        Logger.info { "event=control_stopped name=${settings.name}" }
    }

    private fun startOrBootstrap() {
        peerClients.values.forEach { it.start(scope) }
        val initialMembership = dataFolder.initialMembership()
        if (initialMembership != null) {
            startReplica(initialMembership)
        } else {
            bootstrapCoordinator.initialMembership.thenAccept(::acceptInitialMembership)
            bootstrapCoordinator.decide()
            timer.scheduleWithFixedDelay(::sendPresence, 0, PRESENCE_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
        }
    }

    private fun sendPresence() {
        if (!bootstrapCoordinator.initialMembership.isDone) {
            peerClients.values.forEach { it.send(bootstrapCoordinator.presence(null)) }
        }
    }

    private fun acceptInitialMembership(membership: GroupMembership) {
        dataFolder.writeInitialMembership(membership)
        startReplica(membership)
    }

    private fun startReplica(initialMembership: GroupMembership) {
        val initialStates = openedLog.replayGroups(initialMembership, groups = 1 + settings.ledgerGroups)
        val replicaSettings = ControlReplicaSettings(
            self = self,
            names = { replicaNames },
            electionTimeoutMilliseconds = settings.electionTimeoutMilliseconds,
            entryLeaseMilliseconds = settings.entryLeaseMilliseconds,
            orderRetentionMilliseconds = settings.orderRetentionMilliseconds,
            snapshotEveryEntries = SNAPSHOT_EVERY_ENTRIES,
            toleratedLosses = (replicaNames.size - 1) / 2,
        )
        driver.attach(ControlReplica(replicaSettings, initialStates, environment.random, driver.now(), logWriter::add))
        logWriter.start()
        val tickInterval = settings.electionTimeoutMilliseconds / TICKS_PER_ELECTION_TIMEOUT
        timer.scheduleAtFixedRate(driver::tick, tickInterval, tickInterval, TimeUnit.MILLISECONDS)
        Logger.info {
            "event=control_started name=${settings.name} identity=${self.identity} records=${openedLog.records.size}"
        }
    }

    /** Handles frames received on the connections that this replica opened. */
    private fun receiveFrame(frame: PeerFrame) {
        if (frame.kind == PeerFrameKind.PRESENCE) bootstrapCoordinator.receivePresence(frame)
    }

    companion object {
        /** Opens the data folder, reads the log and starts the daemon; fails with a result code. */
        fun start(settings: ControlSettings, environment: ControlEnvironment): Result<ControlDaemon, Failure> =
            checkReplicaListed(settings)
                .flatMap { DataFolder.open(Path.of(settings.dataFolder)) }
                .flatMap { dataFolder ->
                    DurableLog.open(dataFolder.files).map { openedLog ->
                        ControlDaemon(settings, environment, dataFolder, openedLog).apply { startOrBootstrap() }
                    }
                }

        private fun checkReplicaListed(settings: ControlSettings): Result<Unit, Failure> =
            if (settings.replicas.any { it.name == settings.name }) {
                Ok(Unit)
            } else {
                Err(Failure(ResultCode.SETTINGS_INVALID, "/replicas: does not name ${settings.name}"))
            }
    }
}
