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

/** Where frames go, as function types; they must not wait. */
data class FrameSenders(
    val toReplica: (name: String, PeerFrame) -> Unit,
    val toEntries: (PeerFrame) -> Unit,
)

/** Calls the control node and carries out its effects. */
class ControlReplicaDriver(
    private val clock: Clock,
    private val outgoing: FrameSenders,
    /** Called after the effects of each call; must not wait. */
    private val onPerformed: (ControlReplica) -> Unit = {},
) {
    private val commands = PendingCommands()
    private val running = AtomicReference<ControlReplica?>(null)

    /** The node, or null before it has begun. */
    val controlReplica: ControlReplica? get() = running.get()

    /** Hands over the [node] whose effects are carried out from now on. */
    fun attach(node: ControlReplica) = running.set(node)

    /** The monotonic time. */
    fun now(): Long = clock.monotonicMilliseconds()

    /** Does what is due. */
    fun tick() {
        controlReplica?.let { perform(it.tick(now())) }
    }

    /** Takes a message of a peer. */
    fun receive(message: ReplicationMessage) {
        controlReplica?.let { perform(it.receive(message, now())) }
    }

    /** Takes the news that [work] is synced. */
    fun durable(group: Int, work: LogWrite) {
        work.messages.forEach(::send)
        controlReplica?.let { perform(it.persisted(group, work.syncPoint, now())) }
    }

    /** Has [command] decided; [onAnswer] must not wait. */
    fun submit(command: ControlCommand, onAnswer: CommandCallback) {
        val begun = controlReplica
        if (begun == null) {
            onAnswer(CommandOutcome(ResultCode.NOT_LEADER.number), null)
        } else {
            perform(begun.submit(command, commands.open(onAnswer), now(), clock.wallMilliseconds()))
        }
    }

    private fun perform(effects: List<ControlEffect>) {
        effects.forEach(::performOne)
        controlReplica?.let(onPerformed)
    }

    private fun performOne(effect: ControlEffect) = when (effect) {
        is ControlEffect.Send -> send(effect.message)
        is ControlEffect.Answer -> commands.close(effect)
        is ControlEffect.Publish -> publish(effect.document)
    }

    private fun send(message: ReplicationMessage) =
        outgoing.toReplica(message.to.name, PeerFrame(PeerFrameKind.REPLICATION, replication = message))

    private fun publish(document: StoredDocument) {
        Logger.info {
            "event=document_accepted service=${document.document.service} version=${document.document.version} " +
                "sequence=${document.sequence}"
        }
        val news = EntryNews(
            sentMilliseconds = 0,
            leaseMilliseconds = 0,
            documentSequence = document.sequence,
            documents = listOf(document),
        )
        outgoing.toEntries(PeerFrame(PeerFrameKind.NEWS, news = news))
    }
}
