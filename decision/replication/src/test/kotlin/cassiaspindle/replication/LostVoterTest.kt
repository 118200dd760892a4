package cassiaspindle.replication

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupSnapshot
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.HardState
import cassiaspindle.schema.LogEntry
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class LostVoterTest : AnnotationSpec() {
    private val self = Replica("a", "1")
    private val second = Replica("b", "1")
    private val third = Replica("c", "1")
    private val joining = Replica("d", "1")
    private val fifth = Replica("e", "1")
    private val machine = StateMachine({ CommandOutcome(ResultCode.OK.number) }, { GroupState() }, {})

    @Test
    fun `a learner replaces a voter that no longer answers`() {
        val group = leader(maximumVoters = 3)
        join(group)
        pass(group, from = 1_100, until = 3_900, heard = listOf(second, joining))
        group.status().membership?.voters shouldBe listOf(self, second, third)
        pass(group, from = 4_000, until = 4_600, heard = listOf(second, joining))
        group.status().membership?.voters shouldBe listOf(self, second, joining)
    }

    @Test
    fun `a learner is not promoted while all voters answer and their number is at the limit`() {
        val group = leader(maximumVoters = 3)
        join(group)
        pass(group, from = 1_100, until = 8_000, heard = listOf(second, third, joining))
        group.status().membership?.voters shouldBe listOf(self, second, third)
    }

    @Test
    fun `with three voters that answer one learner is not promoted, two learners are, up to the limit`() {
        val group = leader(maximumVoters = 5)
        join(group)
        pass(group, from = 1_100, until = 2_000, heard = listOf(second, third, joining))
        group.status().membership?.voters shouldBe listOf(self, second, third)
        join(group, fifth)
        pass(group, from = 2_100, until = 3_000, heard = listOf(second, third, joining, fifth))
        group.status().membership?.voters shouldBe listOf(self, second, third, joining, fifth)
    }

    @Test
    fun `a group of four removes a lost voter without a replacement`() {
        val group = leader(maximumVoters = 5, voters = listOf(self, second, third, fifth))
        pass(group, from = 1_100, until = 3_900, heard = listOf(second, third))
        group.status().membership?.voters shouldBe listOf(self, second, third, fifth)
        pass(group, from = 4_000, until = 4_600, heard = listOf(second, third))
        group.status().membership?.voters shouldBe listOf(self, second, third)
    }

    @Test
    fun `a group of three keeps a lost voter that has no replacement`() {
        val group = leader(maximumVoters = 5)
        pass(group, from = 1_100, until = 8_000, heard = listOf(second))
        group.status().membership?.voters shouldBe listOf(self, second, third)
    }

    @Test
    fun `a removed voter becomes a learner when it requests a pre-vote`() {
        val group = leader(maximumVoters = 5, voters = listOf(self, second, third, fifth))
        pass(group, from = 1_100, until = 4_600, heard = listOf(second, third))
        val asked = message(ReplicationKind.PRE_VOTE, fifth, group.status().term)
        settle(group, group.receive(asked, 4_700), 4_700)
        group.status().membership?.learners shouldBe listOf(fifth)
    }

    @Test
    fun `a started replica is current once it has applied what its leader has committed in its term`() {
        val group = GroupReplica(
            ReplicationSettings(0, self, TIMEOUT),
            PersistentGroupState(HardState(term = 4), snapshotAt(index = 7, term = 4), emptyList()),
            machine,
            random = { 0 },
            startedMilliseconds = 0,
        )
        group.isCurrent shouldBe false
        hear(group, term = 4, commit = 9, entries = 8L..8L)
        group.isCurrent shouldBe false
        hear(group, term = 4, commit = 9, entries = 9L..9L)
        group.isCurrent shouldBe true
        hear(group, term = 5, commit = 9, entries = LongRange.EMPTY)
        group.isCurrent shouldBe false
        hear(group, term = 5, commit = 10, entries = 10L..10L)
        group.isCurrent shouldBe true
    }

    private fun snapshotAt(index: Long, term: Long) =
        GroupSnapshot(index, term, GroupMembership(listOf(self, second, third)), GroupState())

    /** Receives an append from the leader [second] with [entries] of its [term]. */
    private fun hear(group: GroupReplica, term: Long, commit: Long, entries: LongRange) {
        val sent = entries.map { LogEntry(it, term, ControlCommand(ControlCommandKind.NO_OPERATION)) }
        val before = group.status().lastIndex
        val message = message(ReplicationKind.APPEND, second, term)
            .copy(lastIndex = before, lastTerm = 4, logEntries = sent, commitIndex = commit)
        settle(group, group.receive(message, 10), 10)
    }

    @Test
    fun `a read is confirmed only by a round sent after its request`() {
        val group = leader(maximumVoters = 3)
        group.confirmedSince(askedMilliseconds = 1_010, nowMilliseconds = 1_020) shouldBe false
        answer(group, second, nowMilliseconds = 1_010)
        group.confirmedSince(askedMilliseconds = 1_010, nowMilliseconds = 9_000) shouldBe false
        answer(group, second, nowMilliseconds = 1_011)
        group.confirmedSince(askedMilliseconds = 1_010, nowMilliseconds = 9_000) shouldBe true
    }

    private fun leader(maximumVoters: Int, voters: List<Replica> = listOf(self, second, third)): GroupReplica {
        val settings = ReplicationSettings(0, self, TIMEOUT, maximumVoters = maximumVoters)
        val image = PersistentGroupState.empty(GroupMembership(voters))
        val group = GroupReplica(settings, image, machine, random = { 0 }, startedMilliseconds = 0)
        val others = voters.filter { it != self }
        val preVote = group.tick(1_000).messages.first()
        val work = others.firstNotNullOf { from ->
            val granted = message(ReplicationKind.PRE_VOTE_REPLY, from, preVote.term)
            group.receive(granted.copy(granted = true, round = preVote.round), 1_000).durable
        }
        group.persisted(work.syncPoint, 1_000)
        val vote = work.messages.first()
        others.forEach { from ->
            val given = message(ReplicationKind.VOTE_REPLY, from, vote.term)
            settle(group, group.receive(given.copy(granted = true, round = vote.round), 1_000), 1_000)
        }
        group.leads shouldBe true
        answer(group, second, nowMilliseconds = 1_000)
        answer(group, third, nowMilliseconds = 1_000)
        return group
    }

    private fun join(group: GroupReplica, replica: Replica = joining) {
        settle(group, group.receive(message(ReplicationKind.JOIN, replica, term = 0), 1_050), 1_050)
        answer(group, second, nowMilliseconds = 1_050)
    }

    /** Advances the time while the replicas [heard] answer every round. */
    private fun pass(group: GroupReplica, from: Long, until: Long, heard: List<Replica>) {
        for (now in from..until step STEP) {
            settle(group, group.tick(now), now)
            heard.forEach { answer(group, it, now) }
        }
    }

    private fun answer(group: GroupReplica, from: Replica, nowMilliseconds: Long) {
        val reply = message(ReplicationKind.APPEND_REPLY, from, group.status().term)
            .copy(granted = true, lastIndex = group.status().lastIndex, round = nowMilliseconds)
        settle(group, group.receive(reply, nowMilliseconds), nowMilliseconds)
    }

    private fun settle(group: GroupReplica, output: ReplicationOutput, nowMilliseconds: Long) {
        output.durable?.let { settle(group, group.persisted(it.syncPoint, nowMilliseconds), nowMilliseconds) }
    }

    private fun message(kind: ReplicationKind, from: Replica, term: Long) =
        ReplicationMessage(kind, group = 0, from = from, to = self, term = term)

    private companion object {
        const val TIMEOUT = 500L
        const val STEP = 100L
    }
}
