package cassiaspindle.daemon.control

import cassiaspindle.control.group.Bootstrap
import cassiaspindle.control.group.BootstrapDecision
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.schema.Replica
import java.util.concurrent.CompletableFuture
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Exchanges presences with the other control replicas, to decide whether an empty replica bootstraps or joins. */
class BootstrapCoordinator(private val self: Replica, names: List<String>, mayBootstrap: Boolean = true) {
    private val lock = ReentrantLock()
    private val bootstrap = Bootstrap(self, names, mayBootstrap)

    /** The membership that the log starts with, once it is decided; without voters for a replica that joins. */
    val initialMembership = CompletableFuture<GroupMembership>()

    /** The presence of this replica, which reports its [membership], or null before the replica has one. */
    fun presence(membership: GroupMembership?) =
        PeerFrame(PeerFrameKind.PRESENCE, sender = self.name, replica = self, membership = membership)

    /** Handles the presence of another replica. */
    fun receivePresence(frame: PeerFrame) {
        val replica = frame.replica ?: return
        complete(lock.withLock { bootstrap.receivePresence(replica, frame.membership) })
    }

    /** Decides immediately if there is no other replica. */
    fun decide() = complete(lock.withLock { bootstrap.decide() })

    private fun complete(decision: BootstrapDecision) {
        when (decision) {
            BootstrapDecision.Wait -> Unit
            is BootstrapDecision.Start -> initialMembership.complete(decision.membership)
            BootstrapDecision.Join -> initialMembership.complete(GroupMembership(emptyList()))
        }
    }
}
