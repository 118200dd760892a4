package cassiaspindle.history.admission

import cassiaspindle.admission.AdmissionVerdict
import cassiaspindle.admission.QueuedRequest
import cassiaspindle.admission.latestBeginMilliseconds
import cassiaspindle.history.request.ScheduledActionQueue
import kotlin.random.Random

private const val DURATION_MILLISECONDS = 60_000L
private const val MILLISECONDS_PER_SECOND = 1_000.0
private const val VIEW_MILLISECONDS = 500L
private const val TIMER_MILLISECONDS = 50L
private const val DEADLINE_MILLISECONDS = 20_000L
private const val FIRST_COUNTED_MILLISECONDS = 10_000L
private val COUNTED_MILLISECONDS = FIRST_COUNTED_MILLISECONDS until DURATION_MILLISECONDS - DEADLINE_MILLISECONDS

/** Value of a late answer relative to the full one. */
private const val LATE_WORTH = 0.33
private const val MAXIMUM_TRIES = 2

/**
 * Simulates many entry VMs in front of a shared capacity of which each knows its own load, and that of the others late
 * and inexactly. All is drawn from one seed. Callers try once more, after the time that they are asked to wait.
 */
class AdmissionSimulation(private val seed: Long, private val scenario: AdmissionScenario) {
    private val random = Random(seed)
    private val queue = ScheduledActionQueue()
    private val arrivals = AdmissionArrivals(scenario, random)
    private val capacity = SharedCapacity(arrivals.capacityTokens, scenario.entries)
    private val statistics = AdmissionStatistics()
    private val entries =
        List(scenario.entries) { SimulatedAdmissionEntry(it, scenario, capacity, random) }
    private val waiting = mutableMapOf<Long, Try>()
    private var nextTryId = 0L
    private var now = 0L

    /** Runs the simulation. */
    fun run(): AdmissionResult {
        requestKinds.indices.forEach(::scheduleArrival)
        repeatEvery(SNAPSHOT_MILLISECONDS, delayMilliseconds = 0) {
            capacity.takeSnapshot()
            if (now in COUNTED_MILLISECONDS) statistics.recordUtilization(capacity.utilization)
        }
        entries.forEach { entry ->
            repeatEvery(VIEW_MILLISECONDS, random.nextLong(VIEW_MILLISECONDS)) { entry.updateView() }
            repeatEvery(TIMER_MILLISECONDS, random.nextLong(TIMER_MILLISECONDS)) { releaseAll(entry) }
        }
        while (now < DURATION_MILLISECONDS) {
            val next = queue.poll(DURATION_MILLISECONDS) ?: break
            now = next.atMilliseconds
            next.action()
        }
        return statistics.result(seed, scenario, COUNTED_MILLISECONDS.run { last - first } / MILLISECONDS_PER_SECOND)
    }

    private fun schedule(delayMilliseconds: Long, action: () -> Unit) = queue.add(now + delayMilliseconds, action)

    private fun repeatEvery(intervalMilliseconds: Long, delayMilliseconds: Long, action: () -> Unit) {
        schedule(delayMilliseconds) {
            action()
            repeatEvery(intervalMilliseconds, intervalMilliseconds, action)
        }
    }

    private fun scheduleArrival(priority: Int) {
        schedule(arrivals.pauseMilliseconds(priority, now).toLong()) {
            val request = arrivals.next(priority, now)
            if (isCounted(request)) statistics.recordSent(request)
            send(request, tries = 1)
            scheduleArrival(priority)
        }
    }

    /** The first requests find idle capacity, and the last ones are not answered within the simulation. */
    private fun isCounted(request: SimulatedRequest) = request.sentMilliseconds in COUNTED_MILLISECONDS

    private fun send(request: SimulatedRequest, tries: Int) {
        val expiry = request.sentMilliseconds + DEADLINE_MILLISECONDS
        val queued = QueuedRequest(
            id = nextTryId++,
            service = SimulatedAdmissionEntry.SERVICE,
            rank = request.priority,
            account = "account-${request.account}",
            accountWeight = 1.0,
            statedTokens = request.tokens,
            beginByMilliseconds = latestBeginMilliseconds(now, request.kind.objectiveMilliseconds, expiry),
        )
        val attempt = Try(request, queued, tries, entries.random(random), now)
        when (val verdict = attempt.entry.offer(queued, now)) {
            AdmissionVerdict.Admit -> start(attempt)
            is AdmissionVerdict.Wait -> await(attempt, verdict)
            is AdmissionVerdict.Refuse -> retry(attempt, verdict.retryAfterMilliseconds)
        }
    }

    private fun await(attempt: Try, verdict: AdmissionVerdict.Wait) {
        waiting[attempt.queued.id] = attempt
        schedule(verdict.untilMilliseconds - now) {
            if (waiting.remove(attempt.queued.id) != null) {
                statistics.recordWait(now - attempt.sentMilliseconds)
                retry(attempt, attempt.entry.expire(attempt.queued, now).retryAfterMilliseconds)
            }
        }
    }

    private fun retry(attempt: Try, retryAfterMilliseconds: Long) {
        if (attempt.tries >= MAXIMUM_TRIES) return
        schedule(retryAfterMilliseconds) { send(attempt.request, attempt.tries + 1) }
    }

    private fun start(attempt: Try) {
        val request = attempt.request
        val entry = attempt.entry
        if (!capacity.start(entry.index, request.tokens, now)) return retry(attempt, VIEW_MILLISECONDS)
        entry.recordStart(attempt.queued, now)
        val startMilliseconds = now
        val firstEvent = startMilliseconds + capacity.firstEventMilliseconds() - request.sentMilliseconds
        schedule(request.serviceMilliseconds) {
            capacity.end(entry.index, request.tokens, now)
            entry.recordEnd(attempt.queued, now)
            val isFirstLate = firstEvent > request.kind.objectiveMilliseconds
            val isLate = isFirstLate || capacity.wasOverloadedSince(startMilliseconds)
            if (isCounted(request)) statistics.recordAnswer(request, request.worth * if (isLate) LATE_WORTH else 1.0)
            releaseAll(entry)
        }
    }

    private fun releaseAll(entry: SimulatedAdmissionEntry) {
        var next = if (entry.hasWaiting) entry.release(now) else null
        while (next != null) {
            val attempt = checkNotNull(waiting.remove(next.id)) { "a request was admitted that does not wait" }
            statistics.recordWait(now - attempt.sentMilliseconds)
            start(attempt)
            next = entry.release(now)
        }
    }

    private data class Try(
        val request: SimulatedRequest,
        val queued: QueuedRequest,
        val tries: Int,
        val entry: SimulatedAdmissionEntry,
        val sentMilliseconds: Long,
    )
}
