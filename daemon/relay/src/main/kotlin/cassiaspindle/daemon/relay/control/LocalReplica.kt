package cassiaspindle.daemon.relay.control

import cassiaspindle.control.group.ControlReplica
import cassiaspindle.control.group.ControlReplicaSettings
import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.control.BootstrapCoordinator
import cassiaspindle.daemon.control.ControlReplicaDriver
import cassiaspindle.daemon.control.FrameSenders
import cassiaspindle.daemon.control.newLogWriter
import cassiaspindle.daemon.control.replayGroups
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.RelaySettings
import cassiaspindle.schema.Replica
import cassiaspindle.storage.DataFolder
import cassiaspindle.storage.DurableLog
import cassiaspindle.storage.FolderFiles
import cassiaspindle.storage.OpenedLog
import cassiaspindle.storage.diskFiles
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.onFailure
import java.io.IOException
import java.nio.file.Path

/** Time without contact to a leader after which a replica starts an election, in milliseconds. */
private const val ELECTION_TIMEOUT_MILLISECONDS = 900L

/** Number of log entries that a snapshot replaces; small, since each entry holds a whole configuration. */
private const val SNAPSHOT_EVERY_ENTRIES = 16

private const val MAXIMUM_VOTERS = 5

/** Five rounds of the leader without an answer, in milliseconds; a voter that returns later joins again. */
private const val VOTER_LOSS_TIMEOUT_MILLISECONDS = 1_500L

/** Dependencies of a replica on its process. */
data class ReplicaEnvironment(
    val clock: Clock,
    val random: RandomSource,
    /** Sends a frame to the replica at a peer address; must not block. */
    val send: (peer: String, PeerFrame) -> Unit,
    /** Peer addresses of the other known replicas. */
    val replicas: () -> Set<String>,
    /** Called after each event that the replica has processed; must not block. */
    val onProcessed: (ControlReplica) -> Unit,
    /** Called when the disk fails: the state in memory may not be durable, so the replica has to be reopened. */
    val onDiskFailed: (Failure) -> Unit,
    /** Opens the files of the data folder. */
    val openFiles: (Path) -> FolderFiles = ::diskFiles,
)

/** The control replica of a process that has a data folder. */
class LocalReplica private constructor(
    private val settings: RelaySettings,
    private val environment: ReplicaEnvironment,
    private val dataFolder: DataFolder,
    private val openedLog: OpenedLog,
) {
    /** Peer address of the replica and identity of its data folder. */
    val self = Replica(settings.peerAddress, dataFolder.identity())

    /** Decides whether the replica founds the system or joins it. */
    val bootstrapCoordinator = BootstrapCoordinator(self, settings.seedPeerAddresses, settings.foundsSystem)

    /** Runs the control replica and carries out its effects. */
    val driver =
        ControlReplicaDriver(environment.clock, FrameSenders(environment.send, toEntries = {}), environment.onProcessed)
    private val logWriter = driver.newLogWriter(openedLog.log, environment.onDiskFailed)

    /** Resumes from the log, or starts once the initial membership is decided. */
    fun start() {
        val initialMembership = dataFolder.initialMembership()
        if (initialMembership != null) {
            startReplica(initialMembership)
        } else {
            bootstrapCoordinator.initialMembership.thenAccept(::bootstrap)
            bootstrapCoordinator.decide()
        }
    }

    /** Whether the initial membership is not decided yet. */
    val isBootstrapPending: Boolean get() = driver.controlReplica == null

    /** Writes queued records and releases the data folder. */
    fun close() {
        if (driver.controlReplica != null) logWriter.close()
        dataFolder.close()
    }

    private fun bootstrap(initialMembership: GroupMembership) = try {
        dataFolder.writeInitialMembership(initialMembership)
        startReplica(initialMembership)
    } catch (problem: IOException) {
        environment.onDiskFailed(
            Failure(ResultCode.SYNC_FAILED, "can't write the initial membership: ${problem.message}"),
        )
    }

    private fun startReplica(initialMembership: GroupMembership) {
        val replicaSettings = ControlReplicaSettings(
            self = self,
            names = { environment.replicas().toList() },
            electionTimeoutMilliseconds = ELECTION_TIMEOUT_MILLISECONDS,
            entryLeaseMilliseconds = ELECTION_TIMEOUT_MILLISECONDS,
            orderRetentionMilliseconds = ELECTION_TIMEOUT_MILLISECONDS,
            snapshotEveryEntries = SNAPSHOT_EVERY_ENTRIES,
            maximumVoters = MAXIMUM_VOTERS,
            toleratedLosses = settings.toleratedLosses,
            voterLossTimeoutMilliseconds = VOTER_LOSS_TIMEOUT_MILLISECONDS,
        )
        val persistentStates = openedLog.replayGroups(initialMembership, groups = 1)
        driver.attach(
            ControlReplica(replicaSettings, persistentStates, environment.random, driver.now(), logWriter::add),
        )
        logWriter.start()
    }

    companion object {
        /** Time between two ticks, in milliseconds. */
        const val TICK_MILLISECONDS = 100L

        /** Opens the data folder at [folder] and reads its log. */
        fun open(
            settings: RelaySettings,
            folder: String,
            environment: ReplicaEnvironment,
        ): Result<LocalReplica, Failure> =
            DataFolder.open(Path.of(folder), environment.openFiles).flatMap { dataFolder ->
                DurableLog.open(dataFolder.files)
                    .flatMap { create(settings, environment, dataFolder, it) }
                    .onFailure { dataFolder.close() }
            }

        /** Creates the replica. A new folder gets its identity here, which fails on a full disk. */
        private fun create(
            settings: RelaySettings,
            environment: ReplicaEnvironment,
            dataFolder: DataFolder,
            openedLog: OpenedLog,
        ): Result<LocalReplica, Failure> = try {
            Ok(LocalReplica(settings, environment, dataFolder, openedLog))
        } catch (problem: IOException) {
            Err(Failure(ResultCode.SYNC_FAILED, "can't write the identity: ${problem.message}"))
        }
    }
}
