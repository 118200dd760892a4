package cassiaspindle.daemon.relay.request

import cassiaspindle.admission.AdmissionSettings
import cassiaspindle.admission.AdmissionVerdict
import cassiaspindle.admission.CapacityReserve
import cassiaspindle.admission.QueuedRequest
import cassiaspindle.admission.WaitingRoom
import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.request.NextStep
import cassiaspindle.relay.route.NoRoute
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.relay.route.RouteRequest
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CoroutineScope
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/** Dependencies of [AdmissionQueue]. */
internal data class AdmissionQueueDependencies(
    /** Selects the backend servers for a request, or returns why there are none. */
    val select: (RouteRequest) -> Result<RouteChoice, NoRoute>,
    /** Number of entry VMs that send to the same backend servers, including this one. */
    val entryCount: () -> Int,
    val random: RandomSource,
    val now: () -> Long,
    val scope: CoroutineScope,
    val reports: AdmissionReports,
    val settings: AdmissionSettings = AdmissionSettings(),
)

/**
 * Lets requests wait for capacity. A waiting request is suspended until it is admitted, refused or cancelled; one timer
 * for all of them runs only while some wait.
 */
internal class AdmissionQueue(private val dependencies: AdmissionQueueDependencies) {
    private val reserve = CapacityReserve(dependencies.settings, dependencies.entryCount)
    private val room = WaitingRoom(dependencies.settings, reserve, dependencies.random, ::fits)
    private val turns = ConcurrentHashMap<Long, AdmissionTurn>()
    private val timer = WaitTimer(dependencies.scope, { room.size > 0 }) { room.services.forEach(::release) }
    private val stateOf = { turn: AdmissionTurn ->
        room.stateOf(turn.queued.service, turn.queued.rank, dependencies.now())
    }
    private val isClosed = AtomicBoolean()

    /** Number of waiting requests. */
    val size: Int get() = room.size

    /** Returns once [turn] may start, or the refusal of its request. */
    suspend fun await(turn: AdmissionTurn): NextStep.GiveUp? {
        turns[turn.queued.id] = turn
        try {
            val verdict = if (turn.returns == 0) {
                room.offer(turn.queued, dependencies.now())
            } else {
                room.enqueue(turn.queued, dependencies.now())
            }
            return when (verdict) {
                AdmissionVerdict.Admit -> null
                is AdmissionVerdict.Refuse -> refuse(turn, verdict)
                is AdmissionVerdict.Wait -> awaitCapacity(turn, verdict.untilMilliseconds)
            }
        } finally {
            turns.remove(turn.queued.id)
        }
    }

    /** Utilization up to which the request of [turn] may use the capacity. */
    fun maximumUtilization(turn: AdmissionTurn): Double =
        reserve.maximumUtilization(turn.queued.service, turn.queued.rank, dependencies.now())

    /** Records that the service of [request] begins; the next waiting request may be admitted. */
    fun recordStart(request: QueuedRequest) {
        room.recordStart(request, dependencies.now())
        release(request.service)
    }

    /** Records that the service of [request] has ended; a waiting request may be admitted. */
    fun recordEnd(request: QueuedRequest) {
        room.recordEnd(request, dependencies.now())
        release(request.service)
    }

    /** Lets others be admitted if [request], which was admitted, does not start. */
    fun leave(request: QueuedRequest) {
        room.leave(request)
        release(request.service)
    }

    /** Refuses all waiting and further requests that would wait, because the process stops. */
    fun close() {
        isClosed.set(true)
        turns.values.forEach { it.outcome.complete(WaitOutcome.DRAINING) }
    }

    private suspend fun awaitCapacity(turn: AdmissionTurn, untilMilliseconds: Long): NextStep.GiveUp? {
        val startMilliseconds = dependencies.now()
        dependencies.reports.recordWaiting(turn, stateOf(turn), maximumUtilization(turn))
        timer.start()
        if (isClosed.get()) turn.outcome.complete(WaitOutcome.DRAINING)
        val outcome = turn.awaitOutcome(untilMilliseconds - startMilliseconds)
        val waitedMilliseconds = dependencies.now() - startMilliseconds
        return when (outcome) {
            WaitOutcome.ADMITTED -> {
                dependencies.reports.recordAdmitted(turn, stateOf(turn), waitedMilliseconds)
                null
            }
            WaitOutcome.DRAINING -> {
                dependencies.reports.recordRefused(turn, stateOf(turn), outcome.name, waitedMilliseconds)
                NextStep.GiveUp(ResultCode.DRAINING)
            }
            WaitOutcome.TIMED_OUT -> refuse(turn, room.expire(turn.queued, dependencies.now()), waitedMilliseconds)
        }
    }

    private fun refuse(
        turn: AdmissionTurn,
        verdict: AdmissionVerdict.Refuse,
        waitedMilliseconds: Long = 0
    ): NextStep.GiveUp {
        dependencies.reports.recordRefused(turn, stateOf(turn), verdict.reason.name, waitedMilliseconds)
        return NextStep.GiveUp(ResultCode.OVERLOADED, verdict.retryAfterMilliseconds)
    }

    private fun release(service: String) {
        val admitted = if (turns.isEmpty()) null else room.release(service, dependencies.now())
        val isResumed = admitted == null || turns[admitted.id]?.outcome?.complete(WaitOutcome.ADMITTED) ?: false
        if (!isResumed) admitted?.let(room::leave)
    }

    /** Whether [request] need not wait: it finds capacity, or what it lacks is not capacity. */
    private fun fits(request: QueuedRequest, maximumUtilization: Double, nowMilliseconds: Long): Boolean {
        val turn = turns[request.id] ?: return false
        val routeRequest = turn.relayed.routeRequest(emptySet(), nowMilliseconds, maximumUtilization)
        return dependencies.select(routeRequest).getError() != NoRoute.NO_ROOM
    }
}
