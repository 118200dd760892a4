package cassiaspindle.replication

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.HardState
import cassiaspindle.schema.LogEntry
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

    @Test
    fun `a restarted leader is elected at once, since the lease that it held has ended`() {
        val restarted = replica(HardState(term = 4, votedFor = self, led = true))
        val preVote = restarted.tick(0).messages.first { it.to == other }
        preVote.endedTerm shouldBe 4
        val voter = replica(HardState(term = 4))
        voter.receive(preVote.copy(from = other, to = self), 1).messages.single().granted shouldBe true
        val logWrite = restarted.receive(replyTo(preVote), 2).logWrite.shouldNotBeNull()
        restarted.persisted(logWrite.syncPoint, 2)
        val vote = logWrite.messages.first { it.to == other }
        val granted = voter.receive(vote.copy(from = other, to = self), 3).logWrite.shouldNotBeNull()
        granted.messages.single().granted shouldBe true
        restarted.receive(replyTo(vote), 4)
        restarted.isLeader shouldBe true
    }

    @Test
    fun `a replica whose log is newer than that of the restarted leader is elected in its place`() {
        val log = listOf(LogEntry(1, 4, ControlCommand(ControlCommandKind.NO_OPERATION)))
        val voter = replica(HardState(term = 4), log)
        val request = message(ReplicationKind.PRE_VOTE, term = 4).copy(endedTerm = 4)
        voter.receive(request, 1).messages.single().granted shouldBe false
        val preVote = voter.tick(TIMEOUT / 4).messages.first { it.to == other }
        preVote.endedTerm shouldBe 4
        preVote.kind shouldBe ReplicationKind.PRE_VOTE
    }

    @Test
    fun `a restarted leader repeats its election while the others start`() {
        val restarted = replica(HardState(term = 4, votedFor = self, led = true))
        val attempts = (0L until TIMEOUT step 25).count { restarted.tick(it).messages.isNotEmpty() }
        attempts shouldBe 4
    }

    @Test
    fun `the end of one lease is no reason to vote while a leader of a later term may hold another`() {
        val voter = replica(HardState(term = 5))
        val request = message(ReplicationKind.PRE_VOTE, term = 5).copy(lastIndex = 9, lastTerm = 4, endedTerm = 4)
        voter.receive(request, 1).messages.single().granted shouldBe false
        val vote = message(ReplicationKind.VOTE, term = 6).copy(lastIndex = 9, lastTerm = 4, endedTerm = 4)
        voter.receive(vote, 1).messages.single().granted shouldBe false
    }

    @Test
    fun `a replica that voted for itself but did not lead waits after a restart`() {
        replica(HardState(term = 4, votedFor = self)).tick(TIMEOUT - 1).messages shouldBe emptyList()
    }

    @Test
    fun `a replica records that it leads`() {
        val replica = replica()
        val request = startElection(replica, nowMilliseconds = 1_000)
        val logWrite = replica.receive(replyTo(request), 1_001).logWrite.shouldNotBeNull()
        logWrite.records.mapNotNull { it.hardState } shouldBe listOf(HardState(term = 1, votedFor = self, led = true))
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

    private fun replica(hardState: HardState = HardState(term = 0), log: List<LogEntry> = emptyList()) = GroupReplica(
        ReplicationSettings(group = 0, self = self, electionTimeoutMilliseconds = TIMEOUT),
        PersistentGroupState.empty(GroupMembership(voters)).copy(hardState = hardState, entries = log),
        stateMachine,
        random = { 0 },
        startedMilliseconds = 0,
    )

    private companion object {
        const val TIMEOUT = 500L
    }
}
