package cassiaspindle.replication

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.concurrency.processRandom
import cassiaspindle.core.concurrency.seededRandom
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationMessage
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldNotBe

/**
 * Guards against split votes, one after the other: three replicas start at the same time with clocks and messages in
 * lockstep. They may draw the same random election timeouts, once or always.
 */
class LockstepElectionTest : AnnotationSpec() {
    private val replicas = listOf("a", "b", "c").map { Replica(it, "1") }

    @Test
    fun `replicas elect a leader in their first election, with equal random numbers and with different ones`() {
        repeat(20) { leaderWithin(2 * TIMEOUT + TICK) { _ -> seededRandom(it.toLong()) } shouldNotBe null }
        repeat(20) { leaderWithin(2 * TIMEOUT + TICK) { replica -> seededRandom(it * 3L + replica) } shouldNotBe null }
    }

    @Test
    fun `the random sources of two processes that start at the same time differ`() {
        val draws = List(2) { processRandom() }.map { source -> List(8) { source(1_000_000) } }
        draws[0] shouldNotBe draws[1]
    }

    private fun leaderWithin(milliseconds: Long, source: (replica: Int) -> RandomSource): Replica? {
        val groupReplicas = replicas.indices.associate { replicas[it] to groupReplica(replicas[it], source(it)) }
        for (now in 0..milliseconds step TICK) {
            var outgoing = groupReplicas.values.flatMap { carryOut(it, it.tick(now), now) }
            while (outgoing.isNotEmpty()) {
                outgoing = outgoing.flatMap { message ->
                    val target = groupReplicas.getValue(message.to)
                    carryOut(target, target.receive(message, now), now)
                }
            }
            groupReplicas.entries.firstOrNull { it.value.isLeader }?.let { return it.key }
        }
        return null
    }

    /** Syncs the log write immediately and returns the messages to send. */
    private fun carryOut(replica: GroupReplica, output: ReplicationOutput, now: Long): List<ReplicationMessage> {
        val logWrite = output.logWrite ?: return output.messages
        return output.messages + logWrite.messages + carryOut(replica, replica.persisted(logWrite.syncPoint, now), now)
    }

    private fun groupReplica(self: Replica, random: RandomSource) = GroupReplica(
        ReplicationSettings(group = 0, self = self, electionTimeoutMilliseconds = TIMEOUT),
        PersistentGroupState.empty(GroupMembership(replicas)),
        StateMachine({ CommandOutcome(ResultCode.OK.number) }, { GroupState() }, {}),
        random,
        startedMilliseconds = 0,
    )

    private companion object {
        const val TIMEOUT = 900L
        const val TICK = 100L
    }
}
