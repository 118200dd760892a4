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

class LostVoterTest : AnnotationSpec() {
    private val self = Replica("a", "1")
    private val second = Replica("b", "1")
    private val third = Replica("c", "1")
    private val joining = Replica("d", "1")
    private val machine = StateMachine({ CommandOutcome(ResultCode.OK.number) }, { GroupState() }, {})

    @Test
    fun `a learner takes the place of a voter that fell silent`() {
        val group = leader(maximumVoters = 3)
        join(group)
        pass(group, from = 1_100, until = 3_900, heard = listOf(second, joining))
        group.status().membership?.voters shouldBe listOf(self, second, third)
        pass(group, from = 4_000, until = 4_600, heard = listOf(second, joining))
        group.status().membership?.voters shouldBe listOf(self, second, joining)
    }

    @Test
    fun `a learner gets no vote beside voters that answer, beyond the limit`() {
        val group = leader(maximumVoters = 3)
        join(group)
        pass(group, from = 1_100, until = 8_000, heard = listOf(second, third, joining))
        group.status().membership?.voters shouldBe listOf(self, second, third)
    }

    @Test
    fun `a learner gets a vote beside voters that answer, up to the limit`() {
        val group = leader(maximumVoters = 5)
        join(group)
        pass(group, from = 1_100, until = 2_000, heard = listOf(second, third, joining))
        group.status().membership?.voters shouldBe listOf(self, second, third, joining)
    }

    @Test
    fun `a read is confirmed by a round sent after the question only`() {
        val group = leader(maximumVoters = 3)
        group.confirmedSince(askedMilliseconds = 1_010, nowMilliseconds = 1_020) shouldBe false
        answer(group, second, nowMilliseconds = 1_010)
        group.confirmedSince(askedMilliseconds = 1_010, nowMilliseconds = 9_000) shouldBe false
        answer(group, second, nowMilliseconds = 1_011)
        group.confirmedSince(askedMilliseconds = 1_010, nowMilliseconds = 9_000) shouldBe true
    }

    private fun leader(maximumVoters: Int): ReplicaGroup {
        val settings = ReplicationSettings(0, self, TIMEOUT, maximumVoters = maximumVoters)
        val image = GroupImage.empty(GroupMembership(listOf(self, second, third)))
        val group = ReplicaGroup(settings, image, machine, random = { 0 }, startedMilliseconds = 0)
        val preVote = group.tick(1_000).messages.first { it.to == second }
        val granted = message(ReplicationKind.PRE_VOTE_REPLY, second, preVote.term)
        val work = group.receive(granted.copy(granted = true, round = preVote.round), 1_000).durable.shouldNotBeNull()
        group.persisted(work.mark, 1_000)
        val vote = work.messages.first { it.to == second }
        val given = message(ReplicationKind.VOTE_REPLY, second, vote.term)
        settle(group, group.receive(given.copy(granted = true, round = vote.round), 1_000), 1_000)
        answer(group, second, nowMilliseconds = 1_000)
        return group
    }

    private fun join(group: ReplicaGroup) {
        settle(group, group.receive(message(ReplicationKind.JOIN, joining, term = 0), 1_050), 1_050)
        answer(group, second, nowMilliseconds = 1_050)
    }

    /** Lets time pass in which the replicas [heard] answer every round. */
    private fun pass(group: ReplicaGroup, from: Long, until: Long, heard: List<Replica>) {
        for (now in from..until step STEP) {
            settle(group, group.tick(now), now)
            heard.forEach { answer(group, it, now) }
        }
    }

    private fun answer(group: ReplicaGroup, from: Replica, nowMilliseconds: Long) {
        val reply = message(ReplicationKind.APPEND_REPLY, from, group.status().term)
            .copy(granted = true, lastIndex = group.status().lastIndex, round = nowMilliseconds)
        settle(group, group.receive(reply, nowMilliseconds), nowMilliseconds)
    }

    private fun settle(group: ReplicaGroup, output: ReplicationOutput, nowMilliseconds: Long) {
        output.durable?.let { settle(group, group.persisted(it.mark, nowMilliseconds), nowMilliseconds) }
    }

    private fun message(kind: ReplicationKind, from: Replica, term: Long) =
        ReplicationMessage(kind, group = 0, from = from, to = self, term = term)

    private companion object {
        const val TIMEOUT = 500L
        const val STEP = 100L
    }
}
