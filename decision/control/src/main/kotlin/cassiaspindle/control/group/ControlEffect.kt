package cassiaspindle.control.group

import cassiaspindle.replication.LogWrite
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ReplicationMessage
import cassiaspindle.schema.StoredDocument

/** What the daemon has to carry out after a call. */
sealed interface ControlEffect {
    /** Send [message] to a peer. */
    data class Send(val message: ReplicationMessage) : ControlEffect

    /** Answer the command that was submitted under [ticket]; [leader] is named where this replica does not lead. */
    data class Answer(val ticket: Long, val outcome: CommandOutcome, val leader: String? = null) : ControlEffect

    /** Tell every connected entry VM of [document] at once. */
    data class Publish(val document: StoredDocument) : ControlEffect
}

/** Takes durable work of a group in the order of decision; called under the group's lock, so it must not wait. */
typealias LogWriteSink = (group: Int, work: LogWrite) -> Unit
