package cassiaspindle.replication

import cassiaspindle.core.concurrency.seededRandom
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationMessage
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

class PlannedStopTest : AnnotationSpec() {
    private val voters = listOf("a", "b", "c").map { Replica(it, "1") }
    private val successor = Replica("d", "1")
    private val running = mutableMapOf<Replica, GroupReplica>()
    private var now = 0L

    @BeforeEach
    fun start() {
        running.clear()
        now = 0
        voters.forEachIndexed { index, voter ->
            running[voter] = groupReplica(voter, GroupMembership(voters), index)
        }
        advance(SETTLE_MILLISECONDS)
        running[successor] = groupReplica(successor, GroupMembership(emptyList()), voters.size)
        advance(SETTLE_MILLISECONDS)
    }

    /** Guards against review case 2: a disk lost just after a planned replacement ends the group. */
    @Test
    fun `each voter that stops hands its vote over before it ends, so that one more may be lost at once`() {
        val stopping = leader().shouldNotBeNull()
        prepareStop(running.getValue(stopping))
        advance(STOP_MILLISECONDS)
        running.getValue(stopping).mayStop shouldBe true
        running -= stopping
        running -= (voters - stopping).first()
        advance(SETTLE_MILLISECONDS)
        leader().shouldNotBeNull()
    }

    @Test
    fun `a leader that stops is followed by another one long before an election timeout`() {
        val stopping = leader().shouldNotBeNull()
        val start = now
        prepareStop(running.getValue(stopping))
        running.getValue(stopping).isLeader shouldBe false
        while (leader() == null) advance(TICK)
        now - start shouldBeLessThan TIMEOUT / 2
        leader() shouldNotBe stopping
    }

    @Test
    fun `a voter that stops stays one if no learner can take its place`() {
        running -= successor
        prepareStop(running.values.first { it.isLeader })
        advance(STOP_MILLISECONDS)
        running.getValue(leader().shouldNotBeNull()).status().membership?.voters
            .orEmpty() shouldContainExactlyInAnyOrder voters
    }

    private fun leader(): Replica? = running.entries.firstOrNull { it.value.canRead(now) }?.key

    private fun advance(milliseconds: Long) {
        val end = now + milliseconds
        while (now < end) {
            now += TICK
            running.values.toList().forEach { replica ->
                deliver(replica.joinRequests(running.keys.map(Replica::name)))
                carryOut(replica, replica.tick(now))
            }
        }
    }

    /** Syncs the log write at once and delivers the messages. */
    private fun carryOut(replica: GroupReplica, output: ReplicationOutput) {
        deliver(output.messages)
        val logWrite = output.logWrite ?: return
        deliver(logWrite.messages)
        carryOut(replica, replica.persisted(logWrite.syncPoint, now))
    }

    private fun prepareStop(replica: GroupReplica) = carryOut(replica, replica.prepareStop(now))

    private fun deliver(messages: List<ReplicationMessage>) = messages.forEach { message ->
        val receiver = running.entries.firstOrNull { it.key.name == message.to.name }?.value
        receiver?.let { carryOut(it, it.receive(message, now)) }
    }

    private fun groupReplica(self: Replica, membership: GroupMembership, seed: Int) = GroupReplica(
        ReplicationSettings(group = 0, self = self, electionTimeoutMilliseconds = TIMEOUT),
        PersistentGroupState.empty(membership),
        StateMachine({ CommandOutcome(ResultCode.OK.number) }, { GroupState() }, {}),
        seededRandom(seed.toLong()),
        startedMilliseconds = now,
    )

    private companion object {
        const val TIMEOUT = 900L
        const val TICK = 100L
        const val SETTLE_MILLISECONDS = 5_000L
        const val STOP_MILLISECONDS = 3_000L
    }
}
