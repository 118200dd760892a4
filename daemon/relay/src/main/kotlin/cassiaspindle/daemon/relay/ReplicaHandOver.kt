package cassiaspindle.daemon.relay

import cassiaspindle.control.group.ControlReplica
import cassiaspindle.daemon.control.ControlReplicaDriver
import cassiaspindle.daemon.relay.log.EventLog
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Hands the lead and the vote of the local replica over to others before the process stops. */
internal class ReplicaHandOver(private val log: EventLog, private val driver: () -> ControlReplicaDriver?) {
    private val isStarted = AtomicBoolean()
    private val done = CountDownLatch(1)

    /** Starts to hand over; without a replica there is nothing to hand over. */
    fun start() {
        isStarted.set(true)
        val running = driver()?.takeIf { it.controlReplica != null }
        if (running == null) done.countDown() else running.prepareStop()
    }

    /** Records that [replica] has processed an event. */
    fun recordProcessed(replica: ControlReplica) {
        if (isStarted.get() && replica.mayStop) done.countDown()
    }

    /** Waits until the replica is needed no more, or has nobody to hand over to; at most [timeoutMilliseconds]. */
    fun await(timeoutMilliseconds: Long) {
        val isDone = done.await(timeoutMilliseconds, TimeUnit.MILLISECONDS)
        log.write("replica_hand_over_ended", "done" to isDone)
    }
}
