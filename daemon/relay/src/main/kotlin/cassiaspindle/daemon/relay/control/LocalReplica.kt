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
import cassiaspindle.storage.OpenedLog
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

/** Dependencies of a replica on its process. */
data class ReplicaEnvironment(
    val clock: Clock,
    val random: RandomSource,
    /** Sends a frame to the replica at a peer address; must not block. */
    val send: (peer: String, PeerFrame) -> Unit,
    /** Peer addresses of the other known replicas. */
    val replicas: () -> Set<String>,
    /** Called after each event that the replica has processed; must not block. */
    val onPerformed: (ControlReplica) -> Unit,
    /** Called when the disk fails: the state in memory may not be durable, so the replica has to be reopened. */
    val onFatal: (Failure) -> Unit,
)

/** The control replica of a process that has a data folder. */
class LocalReplica private constructor(
    settings: RelaySettings,
    private val environment: ReplicaEnvironment,
    private val folder: DataFolder,
    private val opened: OpenedLog,
) {
    /** Peer address of the replica and identity of its data folder. */
    val self = Replica(settings.peerAddress, folder.identity())

    /** Decides whether the replica founds the system or joins it. */
    val identityChoice = BootstrapCoordinator(self, settings.seedPeerAddresses, settings.foundsSystem)

    /** Runs the control node and carries out its effects. */
    val performer =
        ControlReplicaDriver(environment.clock, FrameSenders(environment.send, toEntries = {}), environment.onPerformed)
    private val writer = performer.newLogWriter(opened.log, environment.onFatal)

    /** Resumes from the log, or starts once the initial membership is decided. */
    fun start() {
        val beginning = folder.initialMembership()
        if (beginning != null) {
            run(beginning)
        } else {
            identityChoice.initialMembership.thenAccept(::begin)
            identityChoice.decide()
        }
    }

    /** Whether the initial membership is not decided yet. */
    val isUnsettled: Boolean get() = performer.controlReplica == null

    /** Writes queued records and releases the data folder. */
    fun close() {
        if (performer.controlReplica != null) writer.close()
        folder.close()
    }

    private fun begin(beginning: GroupMembership) = try {
        folder.writeInitialMembership(beginning)
        run(beginning)
    } catch (problem: IOException) {
        environment.onFatal(Failure(ResultCode.SYNC_FAILED, "can't write the initial membership: ${problem.message}"))
    }

    private fun run(beginning: GroupMembership) {
        val nodeSettings = ControlReplicaSettings(
            self = self,
            names = { environment.replicas().toList() },
            electionTimeoutMilliseconds = ELECTION_TIMEOUT_MILLISECONDS,
            entryLeaseMilliseconds = ELECTION_TIMEOUT_MILLISECONDS,
            orderRetentionMilliseconds = ELECTION_TIMEOUT_MILLISECONDS,
            snapshotEveryEntries = SNAPSHOT_EVERY_ENTRIES,
            maximumVoters = MAXIMUM_VOTERS,
        )
        val images = opened.replayGroups(beginning, groups = 1)
        performer.attach(ControlReplica(nodeSettings, images, environment.random, performer.now(), writer::add))
        writer.start()
    }

    companion object {
        /** Time between two ticks, in milliseconds. */
        const val TICK_MILLISECONDS = 100L

        /** Opens the data folder [folder] and reads its log. */
        fun open(
            settings: RelaySettings,
            folder: String,
            environment: ReplicaEnvironment,
        ): Result<LocalReplica, Failure> = DataFolder.open(Path.of(folder)).flatMap { opened ->
            DurableLog.open(opened.files)
                .flatMap { create(settings, environment, opened, it) }
                .onFailure { opened.close() }
        }

        /** Creates the replica. A new folder gets its identity here, which fails on a full disk. */
        private fun create(
            settings: RelaySettings,
            environment: ReplicaEnvironment,
            folder: DataFolder,
            log: OpenedLog,
        ): Result<LocalReplica, Failure> = try {
            Ok(LocalReplica(settings, environment, folder, log))
        } catch (problem: IOException) {
            Err(Failure(ResultCode.SYNC_FAILED, "can't write the identity: ${problem.message}"))
        }
    }
}
