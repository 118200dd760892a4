package cassiaspindle.daemon.relay

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupStatus
import cassiaspindle.schema.Replica
import java.util.concurrent.atomic.AtomicReference

/** Logs the role, term, leader and membership of the control replica whenever one of them changes. */
internal class ReplicaStatusLogger(private val log: EventLog) {
    private val told = AtomicReference<Standing?>(null)

    /** Logs [status] if it differs from the status logged last. */
    fun note(status: GroupStatus) {
        val standing = Standing(status.role, status.term, status.leader, status.membership)
        if (told.getAndSet(standing) == standing) return
        log.write(
            "replica_standing",
            "role" to standing.role,
            "term" to standing.term,
            "leader" to standing.leader,
            "voters" to standing.membership.voters.map(Replica::name),
            "learners" to standing.membership.learners.map(Replica::name),
            "commit" to status.commitIndex,
            "last" to status.lastIndex,
        )
    }

    private data class Standing(
        val role: String,
        val term: Long,
        val leader: String?,
        val membership: GroupMembership,
    )
}
