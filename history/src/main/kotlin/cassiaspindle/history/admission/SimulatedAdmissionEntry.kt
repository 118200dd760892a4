package cassiaspindle.history.admission

import cassiaspindle.admission.AdmissionSettings
import cassiaspindle.admission.AdmissionVerdict
import cassiaspindle.admission.CapacityReserve
import cassiaspindle.admission.QueuedRequest
import cassiaspindle.admission.RefusalReason
import cassiaspindle.admission.WaitingRoom
import kotlin.random.Random

private const val CONSTANT_RETRY_MILLISECONDS = 500L
private const val MINIMUM_VIEW_DELAY_MILLISECONDS = 200L
private const val MAXIMUM_VIEW_DELAY_MILLISECONDS = 900L

/** Largest relative error of the view of the load of others. */
private const val VIEW_NOISE = 0.1

/** A simulated entry VM: what it knows of the load, and how it decides. */
internal class SimulatedAdmissionEntry(
    val index: Int,
    private val scenario: AdmissionScenario,
    private val capacity: SharedCapacity,
    private val random: Random,
) {
    private val settings = AdmissionSettings()
    private val reserve = CapacityReserve(settings) { scenario.entries }
    private val room = WaitingRoom(settings, reserve, random::nextInt) { request, maximumUtilization, _ ->
        utilizationWith(request.tokens) <= 1 && utilizationWith(0) <= maximumUtilization
    }
    private var ownTokens = 0L
    private var othersTokens = 0.0

    /** Whether requests wait. */
    val hasWaiting: Boolean get() = room.size > 0

    /** Replaces the view of the load of the others by a late and inexact one. */
    fun updateView() {
        val delay = random.nextLong(MINIMUM_VIEW_DELAY_MILLISECONDS, MAXIMUM_VIEW_DELAY_MILLISECONDS)
        val error = VIEW_NOISE * (2 * random.nextDouble() - 1)
        othersTokens = capacity.tokensOfOthers(index, delay) * (1 + error)
    }

    /** Decides on [request]. */
    fun offer(request: QueuedRequest, nowMilliseconds: Long): AdmissionVerdict = when {
        scenario.rule == AdmissionRule.WAIT_QUEUE -> room.offer(request, nowMilliseconds)
        utilizationWith(request.tokens) <= 1 -> AdmissionVerdict.Admit
        else -> AdmissionVerdict.Refuse(
            RefusalReason.EXPECTED_WAIT,
            CONSTANT_RETRY_MILLISECONDS,
        )
    }

    /** Refuses [request], whose wait has ended. */
    fun expire(request: QueuedRequest, nowMilliseconds: Long) = room.expire(request, nowMilliseconds)

    /** Admits the next waiting request, or none. */
    fun release(nowMilliseconds: Long): QueuedRequest? = room.release(SERVICE, nowMilliseconds)

    /** Records that [request] starts. */
    fun recordStart(request: QueuedRequest, nowMilliseconds: Long) {
        ownTokens += request.tokens
        room.recordStart(request, nowMilliseconds)
    }

    /** Records that [request] has ended. */
    fun recordEnd(request: QueuedRequest, nowMilliseconds: Long) {
        ownTokens -= request.tokens
        room.recordEnd(request, nowMilliseconds)
    }

    private fun utilizationWith(tokens: Int) = capacity.utilizationOf(ownTokens + othersTokens + tokens)

    companion object {
        /** The only service. */
        const val SERVICE = "model"
    }
}
