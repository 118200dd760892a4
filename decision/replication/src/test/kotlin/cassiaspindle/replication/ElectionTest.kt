package cassiaspindle.replication

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

class ElectionTest : AnnotationSpec() {
    private val self = Replica("a", "1")
    private val other = Replica("b", "1")
    private val voters = listOf(self, other, Replica("c", "1"))
    private val stateMachine = StateMachine({ CommandOutcome(ResultCode.OK.number) }, { GroupState() }, {})

    @Test
    fun `a replica with a quorum of durable votes of the same election becomes leader`() {
        val replica = replica()
        val request = startElection(replica, nowMilliseconds = 1_000)
        replica.receive(replyTo(request), 1_001)
        replica.isLeader shouldBe true
    }

    @Test
    fun `a late vote of an earlier election does not count`() {
        val replica = replica()
        val earlier = startElection(replica, nowMilliseconds = 1_000)
        startElection(replica, nowMilliseconds = 3_000)
        replica.receive(replyTo(earlier), 3_001)
        replica.isLeader shouldBe false
    }

    @Test
    fun `a vote from another identity of a voter does not count`() {
        val replica = replica()
        val request = startElection(replica, nowMilliseconds = 1_000)
        replica.receive(replyTo(request).copy(from = other.copy(identity = "2")), 1_001)
        replica.isLeader shouldBe false
    }

    @Test
    fun `a replica grants no pre-vote within an election timeout of its start`() {
        val request = message(ReplicationKind.PRE_VOTE, term = 1).copy(lastIndex = 9, lastTerm = 1)
        replica().receive(request, TIMEOUT - 1).messages.single().granted shouldBe false
        replica().receive(request, TIMEOUT).messages.single().granted shouldBe true
    }

    /** Wins the pre-vote, reports the own vote as synced and returns the vote request to [other]. */
    private fun startElection(replica: GroupReplica, nowMilliseconds: Long): ReplicationMessage {
        val preVote = replica.tick(nowMilliseconds).messages.first { it.to == other }
        val logWrite = replica.receive(replyTo(preVote), nowMilliseconds).logWrite.shouldNotBeNull()
        replica.persisted(logWrite.syncPoint, nowMilliseconds)
        return logWrite.messages.first { it.to == other }
    }

    private fun replyTo(request: ReplicationMessage): ReplicationMessage {
        val isPreVote = request.kind == ReplicationKind.PRE_VOTE
        val kind = if (isPreVote) ReplicationKind.PRE_VOTE_REPLY else ReplicationKind.VOTE_REPLY
        return message(kind, request.term).copy(granted = true, round = request.round)
    }

    private fun message(kind: ReplicationKind, term: Long) =
        ReplicationMessage(kind, group = 0, from = other, to = self, term = term)

    private fun replica() = GroupReplica(
        ReplicationSettings(group = 0, self = self, electionTimeoutMilliseconds = TIMEOUT),
        PersistentGroupState.empty(GroupMembership(voters)),
        stateMachine,
        random = { 0 },
        startedMilliseconds = 0,
    )

    private companion object {
        const val TIMEOUT = 500L
    }
}
