package cassiaspindle.control.group

import cassiaspindle.core.result.ResultCode
import cassiaspindle.replication.AppliedCommand
import cassiaspindle.replication.GroupReplica
import cassiaspindle.replication.ProposalResult
import cassiaspindle.replication.ReplicationOutput
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand

/** One group with its pending commands and reads; guarded by its shard lock. */
internal class GroupShard(
    val index: Int,
    val group: GroupReplica,
    val machine: ControlStateMachine,
    private val sink: LogWriteSink,
) {
    private val waiting = mutableMapOf<Long, WaitingCommand>()
    private val waitingReads = mutableListOf<WaitingRead>()

    /** When [noteLeadership] first saw the current leadership of this replica, or null if it does not lead. */
    var leadsSinceMilliseconds: Long? = null
        private set

    fun noteLeadership(nowMilliseconds: Long) {
        leadsSinceMilliseconds = if (group.isLeader) leadsSinceMilliseconds ?: nowMilliseconds else null
    }

    fun submit(command: ControlCommand, ticket: Long, nowMilliseconds: Long): List<ControlEffect> =
        when (val proposal = group.propose(command, nowMilliseconds)) {
            is ProposalResult.NotLeader -> listOf(refusal(ticket, ResultCode.NOT_LEADER))
            ProposalResult.MembershipChangePending -> listOf(refusal(ticket, ResultCode.MEMBERSHIP_CHANGE_PENDING))
            is ProposalResult.Accepted -> {
                waiting[proposal.index] = WaitingCommand(proposal.term, ticket)
                effectsOf(proposal.output, nowMilliseconds)
            }
        }

    /** Reads the newest configuration, after a round sent from now on has confirmed that this replica leads. */
    fun readConfiguration(ticket: Long, nowMilliseconds: Long): List<ControlEffect> {
        if (!group.isLeader) return listOf(refusal(ticket, ResultCode.NOT_LEADER))
        waitingReads += WaitingRead(nowMilliseconds, ticket)
        return answerReads(nowMilliseconds)
    }

    fun effectsOf(output: ReplicationOutput, nowMilliseconds: Long): List<ControlEffect> {
        output.logWrite?.let { sink(index, it) }
        val lost = if (group.isLeader) emptyList() else loseAll(output.applied)
        val applied = output.applied.flatMap(::effectsOfApplied)
        return output.messages.map(ControlEffect::Send) + applied + lost + answerReads(nowMilliseconds)
    }

    private fun answerReads(nowMilliseconds: Long): List<ControlEffect> {
        val answered = waitingReads.filter {
            !group.isLeader || group.isConfirmedAfter(it.askedMilliseconds, nowMilliseconds)
        }
        waitingReads.removeAll(answered)
        return answered.map { read ->
            if (group.isLeader) {
                val newest = machine.configurations.newest
                ControlEffect.Answer(read.ticket, CommandOutcome(ResultCode.OK.number, configuration = newest))
            } else {
                refusal(read.ticket, ResultCode.NOT_LEADER)
            }
        }
    }

    private fun effectsOfApplied(applied: AppliedCommand): List<ControlEffect> {
        val published = applied.outcome.document?.let(ControlEffect::Publish)
        val command = waiting.remove(applied.index)
        val answer = command?.let {
            if (it.term == applied.term) {
                ControlEffect.Answer(it.ticket, applied.outcome)
            } else {
                refusal(it.ticket, ResultCode.LEADERSHIP_LOST)
            }
        }
        return listOfNotNull(published, answer)
    }

    /** Fails the commands pending at the loss of leadership, since this replica may never learn their outcome. */
    private fun loseAll(applied: List<AppliedCommand>): List<ControlEffect> {
        val decided = applied.map(AppliedCommand::index).toSet()
        val lost = waiting.filterKeys { it !in decided }
        waiting.keys.removeAll(lost.keys)
        return lost.values.map { refusal(it.ticket, ResultCode.LEADERSHIP_LOST) }
    }

    private fun refusal(ticket: Long, code: ResultCode) =
        ControlEffect.Answer(ticket, CommandOutcome(code.number), group.leader?.name)

    private data class WaitingRead(val askedMilliseconds: Long, val ticket: Long)

    private data class WaitingCommand(val term: Long, val ticket: Long)
}
