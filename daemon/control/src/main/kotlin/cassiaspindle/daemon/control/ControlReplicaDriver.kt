package cassiaspindle.daemon.control

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.control.group.ControlReplica
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.replication.LogWrite
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.EntryNews
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.schema.ReplicationMessage
import cassiaspindle.schema.StoredDocument
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicReference

/** Function types that send frames; they must not block. */
data class FrameSenders(
    val toReplica: (name: String, PeerFrame) -> Unit,
    val toEntries: (PeerFrame) -> Unit,
)

/** Calls a [ControlReplica] and carries out its effects. */
class ControlReplicaDriver(
    private val clock: Clock,
    private val senders: FrameSenders,
    /** Called after the effects of each call are carried out; must not block. */
    private val onProcessed: (ControlReplica) -> Unit = {},
) {
    private val pendingCommands = PendingCommands()
    private val attached = AtomicReference<ControlReplica?>(null)

    /** The control replica, or null before [attach]. */
    val controlReplica: ControlReplica? get() = attached.get()

    /** Sets the [replica] to call from now on. */
    fun attach(replica: ControlReplica) = attached.set(replica)

    /** The monotonic time in milliseconds. */
    fun now(): Long = clock.monotonicMilliseconds()

    /** Handles timeouts and due rounds. */
    fun tick() {
        controlReplica?.let { carryOut(it.tick(now())) }
    }

    /** Prepares the replica for the planned stop of this process. */
    fun prepareStop() {
        controlReplica?.let { carryOut(it.prepareStop(now())) }
    }

    /** Handles a message from a peer. */
    fun receive(message: ReplicationMessage) {
        controlReplica?.let { carryOut(it.receive(message, now())) }
    }

    /** Handles the completed sync of [write]. */
    fun onSynced(group: Int, write: LogWrite) {
        write.messages.forEach(::send)
        controlReplica?.let { carryOut(it.persisted(group, write.syncPoint, now())) }
    }

    /** Proposes [command] and passes its outcome to [callback], which must not block. */
    fun submit(command: ControlCommand, callback: CommandCallback) {
        val target = controlReplica
        if (target == null) {
            callback(CommandOutcome(ResultCode.NOT_LEADER.number), null)
        } else {
            carryOut(target.submit(command, pendingCommands.add(callback), now(), clock.wallMilliseconds()))
        }
    }

    private fun carryOut(effects: List<ControlEffect>) {
        effects.forEach(::carryOutEffect)
        controlReplica?.let(onProcessed)
    }

    private fun carryOutEffect(effect: ControlEffect) = when (effect) {
        is ControlEffect.Send -> send(effect.message)
        is ControlEffect.Answer -> pendingCommands.complete(effect)
        is ControlEffect.Publish -> {
            Logger.info {
                "event=document_accepted service=${effect.document.document.service} " +
                    "version=${effect.document.document.version} sequence=${effect.document.sequence}"
            }
            senders.toEntries(newsOf(effect.document))
        }
    }

    private fun send(message: ReplicationMessage) =
        senders.toReplica(message.to.name, PeerFrame(PeerFrameKind.REPLICATION, replication = message))
}

/** News of [document] for the connected entry VMs; without a lease duration, it renews no lease. */
private fun newsOf(document: StoredDocument) = PeerFrame(
    PeerFrameKind.NEWS,
    news = EntryNews(
        sentMilliseconds = 0,
        leaseMilliseconds = 0,
        documentSequence = document.sequence,
        documents = listOf(document),
    ),
)
