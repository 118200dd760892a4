package cassiaspindle.daemon.relay.fleet

import cassiaspindle.control.group.ControlReads
import java.util.concurrent.atomic.AtomicLong

/** Applies the leaves that the local control replica has recorded to the fleet, also those from before a restart. */
internal class RecordedLeaves(private val fleetState: FleetState) {
    private val appliedRevision = AtomicLong()

    /** Applies the leaves in [reads] if they have changed; followers receive those that change something. */
    fun apply(reads: ControlReads) {
        val revision = reads.leaveRevision
        val isChanged = appliedRevision.getAndSet(revision) != revision
        if (isChanged) reads.leaves().forEach { fleetState.applyNotice(it) }
    }
}
