package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.relay.request.DrainSchedule
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Finishes the requests of a process that stops. */
internal class PlannedStop(private val requestHandler: RelayRequestHandler, private val log: EventLog) {
    private val acceptingEnded = CountDownLatch(1)

    /** Ends the time in which new requests are still accepted. */
    fun stopAccepting() = acceptingEnded.countDown()

    /** Serves callers that still hold this address, then refuses new requests until those in flight have finished. */
    fun finishRequests(schedule: DrainSchedule) {
        acceptingEnded.await(schedule.acceptForMilliseconds, TimeUnit.MILLISECONDS)
        requestHandler.refuseNewRequests()
        log.write("refusing_new_requests", "in_flight" to requestHandler.inFlight.count)
        requestHandler.inFlight.awaitIdle(schedule.closeAfterMilliseconds - schedule.acceptForMilliseconds)
    }
}
