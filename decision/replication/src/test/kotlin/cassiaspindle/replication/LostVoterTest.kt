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
    private val stateMachine = StateMachine({ CommandOutcome(ResultCode.OK.number) }, { GroupState() }, {})

    @Test
    fun `a learner replaces a voter that no longer answers`() {
        val replica = leader(maximumVoters = 3)
        join(replica)
        advanceTime(replica, from = 1_100, until = 3_900, answering = listOf(second, joining))
        replica.status().membership?.voters shouldBe listOf(self, second, third)
        advanceTime(replica, from = 4_000, until = 4_600, answering = listOf(second, joining))
        replica.status().membership?.voters shouldBe listOf(self, second, joining)
    }

    @Test
    fun `a learner is not promoted while all voters answer and their number is at the limit`() {
        val replica = leader(maximumVoters = 3)
        join(replica)
        advanceTime(replica, from = 1_100, until = 8_000, answering = listOf(second, third, joining))
        replica.status().membership?.voters shouldBe listOf(self, second, third)
    }

    @Test
    fun `with three voters that answer one learner is not promoted, two learners are, up to the limit`() {
        val replica = leader(maximumVoters = 5)
        join(replica)
        advanceTime(replica, from = 1_100, until = 2_000, answering = listOf(second, third, joining))
        replica.status().membership?.voters shouldBe listOf(self, second, third)
        join(replica, fifth)
        advanceTime(replica, from = 2_100, until = 3_000, answering = listOf(second, third, joining, fifth))
        replica.status().membership?.voters shouldBe listOf(self, second, third, joining, fifth)
    }

    @Test
    fun `a group of four removes a lost voter without a replacement`() {
        val replica = leader(maximumVoters = 5, voters = listOf(self, second, third, fifth))
        advanceTime(replica, from = 1_100, until = 3_900, answering = listOf(second, third))
        replica.status().membership?.voters shouldBe listOf(self, second, third, fifth)
        advanceTime(replica, from = 4_000, until = 4_600, answering = listOf(second, third))
        replica.status().membership?.voters shouldBe listOf(self, second, third)
    }

    /** Guards against a group that keeps two voters that are gone for good and ends with the next lost disk. */
    @Test
    fun `a group of five that was built from two replacements removes both lost voters`() {
        val replica = leader(maximumVoters = 5)
        join(replica)
        join(replica, fifth)
        advanceTime(replica, from = 1_100, until = 2_000, answering = listOf(second, third, joining, fifth))
        replica.status().membership?.voters shouldBe listOf(self, second, third, joining, fifth)
        advanceTime(replica, from = 2_100, until = 6_000, answering = listOf(joining, fifth))
        replica.status().membership?.voters shouldBe listOf(self, joining, fifth)
    }

    @Test
    fun `a group of three keeps a lost voter that has no replacement`() {
        val replica = leader(maximumVoters = 5)
        advanceTime(replica, from = 1_100, until = 8_000, answering = listOf(second))
        replica.status().membership?.voters shouldBe listOf(self, second, third)
    }

    @Test
    fun `a removed voter becomes a learner when it requests a pre-vote`() {
        val replica = leader(maximumVoters = 5, voters = listOf(self, second, third, fifth))
        advanceTime(replica, from = 1_100, until = 4_600, answering = listOf(second, third))
        val request = message(ReplicationKind.PRE_VOTE, fifth, replica.status().term)
        sync(replica, replica.receive(request, 4_700), 4_700)
        replica.status().membership?.learners shouldBe listOf(fifth)
    }

    @Test
    fun `a started replica is current once it has applied what its leader has committed in its term`() {
        val replica = GroupReplica(
            ReplicationSettings(0, self, TIMEOUT),
            PersistentGroupState(HardState(term = 4), snapshotAt(index = 7, term = 4), emptyList()),
            stateMachine,
            random = { 0 },
            startedMilliseconds = 0,
        )
        replica.isCurrent shouldBe false
        receiveAppend(replica, term = 4, commit = 9, entries = 8L..8L)
        replica.isCurrent shouldBe false
        receiveAppend(replica, term = 4, commit = 9, entries = 9L..9L)
        replica.isCurrent shouldBe true
        receiveAppend(replica, term = 5, commit = 9, entries = LongRange.EMPTY)
        replica.isCurrent shouldBe false
        receiveAppend(replica, term = 5, commit = 10, entries = 10L..10L)
        replica.isCurrent shouldBe true
    }

    private fun snapshotAt(index: Long, term: Long) =
        GroupSnapshot(index, term, GroupMembership(listOf(self, second, third)), GroupState())

    /** Receives an append from the leader [second] with [entries] of its [term]. */
    private fun receiveAppend(replica: GroupReplica, term: Long, commit: Long, entries: LongRange) {
        val sent = entries.map { LogEntry(it, term, ControlCommand(ControlCommandKind.NO_OPERATION)) }
        val before = replica.status().lastIndex
        val message = message(ReplicationKind.APPEND, second, term)
            .copy(lastIndex = before, lastTerm = 4, logEntries = sent, commitIndex = commit)
        sync(replica, replica.receive(message, 10), 10)
    }

    @Test
    fun `a read is confirmed only by a round sent after its request`() {
        val replica = leader(maximumVoters = 3)
        replica.isConfirmedAfter(requestedMilliseconds = 1_010, nowMilliseconds = 1_020) shouldBe false
        answer(replica, second, nowMilliseconds = 1_010)
        replica.isConfirmedAfter(requestedMilliseconds = 1_010, nowMilliseconds = 9_000) shouldBe false
        answer(replica, second, nowMilliseconds = 1_011)
        replica.isConfirmedAfter(requestedMilliseconds = 1_010, nowMilliseconds = 9_000) shouldBe true
    }

    private fun leader(maximumVoters: Int, voters: List<Replica> = listOf(self, second, third)): GroupReplica {
        val settings = ReplicationSettings(0, self, TIMEOUT, maximumVoters = maximumVoters)
        val initialState = PersistentGroupState.empty(GroupMembership(voters))
        val replica = GroupReplica(settings, initialState, stateMachine, random = { 0 }, startedMilliseconds = 0)
        val others = voters.filter { it != self }
        val preVote = replica.tick(1_000).messages.first()
        val logWrite = others.firstNotNullOf { from ->
            val granted = message(ReplicationKind.PRE_VOTE_REPLY, from, preVote.term)
            replica.receive(granted.copy(granted = true, round = preVote.round), 1_000).logWrite
        }
        replica.persisted(logWrite.syncPoint, 1_000)
        val vote = logWrite.messages.first()
        others.forEach { from ->
            val reply = message(ReplicationKind.VOTE_REPLY, from, vote.term)
            sync(replica, replica.receive(reply.copy(granted = true, round = vote.round), 1_000), 1_000)
        }
        replica.isLeader shouldBe true
        answer(replica, second, nowMilliseconds = 1_000)
        answer(replica, third, nowMilliseconds = 1_000)
        return replica
    }

    private fun join(replica: GroupReplica, learner: Replica = joining) {
        sync(replica, replica.receive(message(ReplicationKind.JOIN, learner, term = 0), 1_050), 1_050)
        answer(replica, second, nowMilliseconds = 1_050)
    }

    /** Advances the time while the replicas [answering] answer every round. */
    private fun advanceTime(replica: GroupReplica, from: Long, until: Long, answering: List<Replica>) {
        for (now in from..until step STEP) {
            sync(replica, replica.tick(now), now)
            answering.forEach { answer(replica, it, now) }
        }
    }

    private fun answer(replica: GroupReplica, from: Replica, nowMilliseconds: Long) {
        val reply = message(ReplicationKind.APPEND_REPLY, from, replica.status().term)
            .copy(granted = true, lastIndex = replica.status().lastIndex, round = nowMilliseconds)
        sync(replica, replica.receive(reply, nowMilliseconds), nowMilliseconds)
    }

    private fun sync(replica: GroupReplica, output: ReplicationOutput, nowMilliseconds: Long) {
        output.logWrite?.let { sync(replica, replica.persisted(it.syncPoint, nowMilliseconds), nowMilliseconds) }
    }

    private fun message(kind: ReplicationKind, from: Replica, term: Long) =
        ReplicationMessage(kind, group = 0, from = from, to = self, term = term)

    private companion object {
        const val TIMEOUT = 500L
        const val STEP = 100L
    }
}
