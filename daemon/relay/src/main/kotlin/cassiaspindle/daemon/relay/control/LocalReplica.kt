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

/** Silence after which a replica asks for an election, in milliseconds. */
private const val ELECTION_TIMEOUT_MILLISECONDS = 900L

/** Entries after which the log is replaced by a snapshot: an entry holds a whole configuration. */
private const val SNAPSHOT_EVERY_ENTRIES = 16

/** Most replicas with a vote. */
private const val MAXIMUM_VOTERS = 5

/** What a replica needs of the process that holds it. */
data class ReplicaEnvironment(
    val clock: Clock,
    val random: RandomSource,
    /** Sends a frame to the replica at a peer address; must not wait. */
    val send: (peer: String, PeerFrame) -> Unit,
    /** Peer addresses of the other replicas, as far as they are known. */
    val replicas: () -> Set<String>,
    /** Called after each call of the replica; must not wait. */
    val onPerformed: (ControlReplica) -> Unit,
    /** The disk failed; what is in memory may not be durable, and the replica has to be read again. */
    val onFatal: (Failure) -> Unit,
)

/** The control replica of a machine with a disk. */
class LocalReplica private constructor(
    settings: RelaySettings,
    private val environment: ReplicaEnvironment,
    private val folder: DataFolder,
    private val opened: OpenedLog,
) {
    /** Its name and the identity of its disk. */
    val self = Replica(settings.peerAddress, folder.identity())

    /** Settles whether it founds the system or joins it. */
    val identityChoice = BootstrapCoordinator(self, settings.seedPeerAddresses, settings.foundsSystem)

    /** Calls the decisions. */
    val performer =
        ControlReplicaDriver(environment.clock, FrameSenders(environment.send, toEntries = {}), environment.onPerformed)
    private val writer = performer.newLogWriter(opened.log, environment.onFatal)

    /** Begins where the log left off, or once the beginning is settled. */
    fun start() {
        val beginning = folder.initialMembership()
        if (beginning != null) {
            run(beginning)
        } else {
            identityChoice.initialMembership.thenAccept(::begin)
            identityChoice.decide()
        }
    }

    /** Whether the beginning is not settled yet. */
    val isUnsettled: Boolean get() = performer.controlReplica == null

    /** Writes what waits and gives the folder back. */
    fun close() {
        if (performer.controlReplica != null) writer.close()
        folder.close()
    }

    private fun begin(beginning: GroupMembership) = try {
        folder.writeInitialMembership(beginning)
        run(beginning)
    } catch (problem: IOException) {
        environment.onFatal(Failure(ResultCode.SYNC_FAILED, "the beginning can't be written: ${problem.message}"))
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

    /** Opening. */
    companion object {
        /** Time between two ticks, in milliseconds. */
        const val TICK_MILLISECONDS = 100L

        /** Opens the data folder [folder] and reads the log; fails with a numbered code. */
        fun open(
            settings: RelaySettings,
            folder: String,
            environment: ReplicaEnvironment,
        ): Result<LocalReplica, Failure> = DataFolder.open(Path.of(folder)).flatMap { opened ->
            DurableLog.open(opened.files)
                .flatMap { create(settings, environment, opened, it) }
                .onFailure { opened.close() }
        }

        /** The identity of a new folder is written here, which a full disk refuses. */
        private fun create(
            settings: RelaySettings,
            environment: ReplicaEnvironment,
            folder: DataFolder,
            log: OpenedLog,
        ): Result<LocalReplica, Failure> = try {
            Ok(LocalReplica(settings, environment, folder, log))
        } catch (problem: IOException) {
            Err(Failure(ResultCode.SYNC_FAILED, "the identity can't be written: ${problem.message}"))
        }
    }
}
