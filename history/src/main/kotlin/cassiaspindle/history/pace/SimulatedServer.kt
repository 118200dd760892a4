package cassiaspindle.history.pace

import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState

/** Requests in flight for each slot from which a server refuses further ones. */
private const val REFUSAL_REQUESTS_PER_SLOT = 2

/** What a server does with a request. */
internal enum class ServerMode { ANSWERS, FAILS, HANGS }

/** A simulated backend server of a plain service: processor sharing over its slots, slower while it is cold. */
internal class SimulatedServer(val id: String, private val slots: Int, private val serviceMilliseconds: Long) {
    var mode = ServerMode.ANSWERS
    var inFlight = 0
    private var born = 1L
    private var coldFactor = 1.0
    private var startedMilliseconds = 0L
    private var warmMilliseconds = 0L

    /** Its announcement in [state]. */
    fun notice(state: RunnerState = RunnerState.READY) = RunnerNotice(
        id,
        service = "service",
        address = "$id:80",
        availabilityZone = "zone",
        state = state,
        bornMilliseconds = born,
        sequence = 1,
        slots = slots,
    )

    /** Starts anew at [nowMilliseconds], slower by [factor] at first, until it is warm after [coldMilliseconds]. */
    fun start(nowMilliseconds: Long, factor: Double, coldMilliseconds: Long) {
        born = nowMilliseconds
        coldFactor = factor
        startedMilliseconds = nowMilliseconds
        warmMilliseconds = nowMilliseconds + coldMilliseconds
    }

    /** Whether it answers at full speed. */
    fun isWarm(nowMilliseconds: Long): Boolean = mode == ServerMode.ANSWERS && nowMilliseconds >= warmMilliseconds

    /** Whether it refuses a further request. */
    val isFull: Boolean get() = inFlight >= slots * REFUSAL_REQUESTS_PER_SLOT

    /** Time that a request takes which starts at [nowMilliseconds]. */
    fun answerMilliseconds(nowMilliseconds: Long): Long {
        val remaining = (warmMilliseconds - nowMilliseconds).coerceAtLeast(0).toDouble()
        val coldMilliseconds = maxOf(1, warmMilliseconds - startedMilliseconds)
        val slowness = 1 + (coldFactor - 1) * remaining / coldMilliseconds
        return (serviceMilliseconds * slowness * maxOf(1.0, (inFlight + 1.0) / slots)).toLong()
    }
}
