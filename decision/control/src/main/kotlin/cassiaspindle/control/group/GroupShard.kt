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
    val replica: GroupReplica,
    val stateMachine: ControlStateMachine,
    private val sink: LogWriteSink,
) {
    private val pendingCommands = mutableMapOf<Long, PendingCommand>()
    private val pendingReads = mutableListOf<PendingRead>()

    /** When [recordLeadership] first saw the current leadership of this replica, or null if it does not lead. */
    var leaderSinceMilliseconds: Long? = null
        private set

    fun recordLeadership(nowMilliseconds: Long) {
        leaderSinceMilliseconds = if (replica.isLeader) leaderSinceMilliseconds ?: nowMilliseconds else null
    }

    fun submit(command: ControlCommand, ticket: Long, nowMilliseconds: Long): List<ControlEffect> =
        when (val proposal = replica.propose(command, nowMilliseconds)) {
            is ProposalResult.NotLeader -> listOf(refusal(ticket, ResultCode.NOT_LEADER))
            ProposalResult.MembershipChangePending -> listOf(refusal(ticket, ResultCode.MEMBERSHIP_CHANGE_PENDING))
            is ProposalResult.Accepted -> {
                pendingCommands[proposal.index] = PendingCommand(proposal.term, ticket)
                effectsOf(proposal.output, nowMilliseconds)
            }
        }

    /** Reads the newest configuration, after a round sent from now on has confirmed that this replica leads. */
    fun readConfiguration(ticket: Long, nowMilliseconds: Long): List<ControlEffect> {
        if (!replica.isLeader) return listOf(refusal(ticket, ResultCode.NOT_LEADER))
        pendingReads += PendingRead(nowMilliseconds, ticket)
        return answerConfirmedReads(nowMilliseconds)
    }

    fun effectsOf(output: ReplicationOutput, nowMilliseconds: Long): List<ControlEffect> {
        output.logWrite?.let { sink(index, it) }
        val failed = if (replica.isLeader) emptyList() else failPendingCommands(output.applied)
        val applied = output.applied.flatMap(::effectsOfApplied)
        return output.messages.map(ControlEffect::Send) + applied + failed + answerConfirmedReads(nowMilliseconds)
    }

    private fun answerConfirmedReads(nowMilliseconds: Long): List<ControlEffect> {
        val answered = pendingReads.filter {
            !replica.isLeader || replica.isConfirmedAfter(it.requestedMilliseconds, nowMilliseconds)
        }
        pendingReads.removeAll(answered)
        return answered.map { read ->
            if (replica.isLeader) {
                val newest = stateMachine.configurations.newest
                ControlEffect.Answer(read.ticket, CommandOutcome(ResultCode.OK.number, configuration = newest))
            } else {
                refusal(read.ticket, ResultCode.NOT_LEADER)
            }
        }
    }

    private fun effectsOfApplied(applied: AppliedCommand): List<ControlEffect> {
        val publish = applied.outcome.document?.let(ControlEffect::Publish)
        val command = pendingCommands.remove(applied.index)
        val answer = command?.let {
            if (it.term == applied.term) {
                ControlEffect.Answer(it.ticket, applied.outcome)
            } else {
                refusal(it.ticket, ResultCode.LEADERSHIP_LOST)
            }
        }
        return listOfNotNull(publish, answer)
    }

    /** Fails the commands pending at the loss of leadership, since this replica may never learn their outcome. */
    private fun failPendingCommands(applied: List<AppliedCommand>): List<ControlEffect> {
        val appliedIndexes = applied.map(AppliedCommand::index).toSet()
        val failed = pendingCommands.filterKeys { it !in appliedIndexes }
        pendingCommands.keys.removeAll(failed.keys)
        return failed.values.map { refusal(it.ticket, ResultCode.LEADERSHIP_LOST) }
    }

    private fun refusal(ticket: Long, code: ResultCode) =
        ControlEffect.Answer(ticket, CommandOutcome(code.number), replica.leader?.name)

    private data class PendingRead(val requestedMilliseconds: Long, val ticket: Long)

    private data class PendingCommand(val term: Long, val ticket: Long)
}
