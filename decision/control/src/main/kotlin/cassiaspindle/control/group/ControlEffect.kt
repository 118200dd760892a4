package cassiaspindle.control.group

import cassiaspindle.replication.LogWrite
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ReplicationMessage
import cassiaspindle.schema.StoredDocument

/** An effect of a call, which the daemon has to carry out. */
sealed interface ControlEffect {
    /** Send [message] to a peer. */
    data class Send(val message: ReplicationMessage) : ControlEffect

    /** Return the outcome of the command submitted as [ticket]; after a refusal, [leader] is the known leader. */
    data class Answer(val ticket: Long, val outcome: CommandOutcome, val leader: String? = null) : ControlEffect

    /** Send [document] to every connected entry VM immediately. */
    data class Publish(val document: StoredDocument) : ControlEffect
}

/** Queues log writes of a group, in the order of the calls; called under the group's lock, so it must not block. */
typealias LogWriteSink = (group: Int, write: LogWrite) -> Unit
