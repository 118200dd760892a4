package cassiaspindle.daemon.relay

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupStatus
import cassiaspindle.schema.Replica
import java.util.concurrent.atomic.AtomicReference

/** Logs the role, term, leader and membership of the control replica whenever one of them changes. */
internal class ReplicaStatusLogger(private val log: EventLog) {
    private val lastLogged = AtomicReference<ReplicaStatus?>(null)

    /** Logs [status] if it differs from the status logged last. */
    fun logIfChanged(status: GroupStatus) {
        val current = ReplicaStatus(status.role, status.term, status.leader, status.membership)
        if (lastLogged.getAndSet(current) == current) return
        log.write(
            "replica_standing",
            "role" to current.role,
            "term" to current.term,
            "leader" to current.leader,
            "voters" to current.membership.voters.map(Replica::name),
            "learners" to current.membership.learners.map(Replica::name),
            "commit" to status.commitIndex,
            "last" to status.lastIndex,
        )
    }

    private data class ReplicaStatus(
        val role: String,
        val term: Long,
        val leader: String?,
        val membership: GroupMembership,
    )
}
