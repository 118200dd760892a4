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
class BootstrapCoordinator(private val self: Replica, names: List<String>, mayFound: Boolean = true) {
    private val lock = ReentrantLock()
    private val firstStart = Bootstrap(self, names, mayFound)

    /** The membership that the log starts with, once it is decided; without voters for a replica that joins. */
    val initialMembership = CompletableFuture<GroupMembership>()

    /** The presence of this replica, with the [membership] it knows of. */
    fun presence(membership: GroupMembership?) =
        PeerFrame(PeerFrameKind.PRESENCE, sender = self.name, replica = self, membership = membership)

    /** Handles the presence of another replica. */
    fun receivePresence(frame: PeerFrame) {
        val replica = frame.replica ?: return
        settle(lock.withLock { firstStart.heard(replica, frame.membership) })
    }

    /** Decides immediately if there is no other replica. */
    fun decide() = settle(lock.withLock { firstStart.decide() })

    private fun settle(decision: BootstrapDecision) {
        when (decision) {
            BootstrapDecision.Wait -> Unit
            is BootstrapDecision.Found -> initialMembership.complete(decision.membership)
            BootstrapDecision.Join -> initialMembership.complete(GroupMembership(emptyList()))
        }
    }
}
