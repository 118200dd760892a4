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

/** Settles with the other control replicas whether an empty one founds the system or joins it. */
class BootstrapCoordinator(private val self: Replica, names: List<String>, mayFound: Boolean = true) {
    private val lock = ReentrantLock()
    private val firstStart = Bootstrap(self, names, mayFound)

    /** The membership that the log begins with, once it is settled; without voters for one that joins. */
    val initialMembership = CompletableFuture<GroupMembership>()

    /** What this replica says of itself, with the [membership] it knows of. */
    fun presence(membership: GroupMembership?) =
        PeerFrame(PeerFrameKind.PRESENCE, sender = self.name, replica = self, membership = membership)

    /** Takes what another replica said of itself. */
    fun receivePresence(frame: PeerFrame) {
        val replica = frame.replica ?: return
        settle(lock.withLock { firstStart.heard(replica, frame.membership) })
    }

    /** Settles at once where there is no other replica. */
    fun decide() = settle(lock.withLock { firstStart.decide() })

    private fun settle(decision: BootstrapDecision) {
        when (decision) {
            BootstrapDecision.Wait -> Unit
            is BootstrapDecision.Found -> initialMembership.complete(decision.membership)
            BootstrapDecision.Join -> initialMembership.complete(GroupMembership(emptyList()))
        }
    }
}
