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
    private val machine = StateMachine({ CommandOutcome(ResultCode.OK.number) }, { GroupState() }, {})

    @Test
    fun `a replica with a quorum of durable votes of the same election becomes leader`() {
        val group = group()
        val asked = standForElection(group, nowMilliseconds = 1_000)
        group.receive(replyTo(asked), 1_001)
        group.leads shouldBe true
    }

    @Test
    fun `a late vote of an earlier election does not count`() {
        val group = group()
        val earlier = standForElection(group, nowMilliseconds = 1_000)
        standForElection(group, nowMilliseconds = 3_000)
        group.receive(replyTo(earlier), 3_001)
        group.leads shouldBe false
    }

    @Test
    fun `a vote from another identity of a voter does not count`() {
        val group = group()
        val asked = standForElection(group, nowMilliseconds = 1_000)
        group.receive(replyTo(asked).copy(from = other.copy(identity = "2")), 1_001)
        group.leads shouldBe false
    }

    @Test
    fun `a replica grants no pre-vote within an election timeout of its start`() {
        val asked = message(ReplicationKind.PRE_VOTE, term = 1).copy(lastIndex = 9, lastTerm = 1)
        group().receive(asked, TIMEOUT - 1).messages.single().granted shouldBe false
        group().receive(asked, TIMEOUT).messages.single().granted shouldBe true
    }

    /** Wins the pre-vote, reports the own vote as synced and returns the vote request to [other]. */
    private fun standForElection(group: GroupReplica, nowMilliseconds: Long): ReplicationMessage {
        val preVote = group.tick(nowMilliseconds).messages.first { it.to == other }
        val work = group.receive(replyTo(preVote), nowMilliseconds).durable.shouldNotBeNull()
        group.persisted(work.syncPoint, nowMilliseconds)
        return work.messages.first { it.to == other }
    }

    private fun replyTo(asked: ReplicationMessage): ReplicationMessage {
        val isPreVote = asked.kind == ReplicationKind.PRE_VOTE
        val kind = if (isPreVote) ReplicationKind.PRE_VOTE_REPLY else ReplicationKind.VOTE_REPLY
        return message(kind, asked.term).copy(granted = true, round = asked.round)
    }

    private fun message(kind: ReplicationKind, term: Long) =
        ReplicationMessage(kind, group = 0, from = other, to = self, term = term)

    private fun group() = GroupReplica(
        ReplicationSettings(group = 0, self = self, electionTimeoutMilliseconds = TIMEOUT),
        PersistentGroupState.empty(GroupMembership(voters)),
        machine,
        random = { 0 },
        startedMilliseconds = 0,
    )

    private companion object {
        const val TIMEOUT = 500L
    }
}
