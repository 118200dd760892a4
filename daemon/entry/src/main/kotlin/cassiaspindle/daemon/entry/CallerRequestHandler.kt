package cassiaspindle.daemon.entry

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.discovery.EntryDirectory
import cassiaspindle.entry.request.IncomingRequest
import cassiaspindle.schema.EntryAddress
import cassiaspindle.schema.EntryAddresses
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.transport.http.caller.CallerHandlers
import cassiaspindle.transport.http.caller.CallerRequest
import cassiaspindle.transport.http.caller.CallerSession
import cassiaspindle.transport.http.server.errorAnswerOf
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

private const val RETRY_AFTER_MILLISECONDS = 500L

/** Handles discovery, requests and orders of callers. */
internal class CallerRequestHandler(
    private val parts: EntryComponents,
    private val performer: EffectExecutor,
    private val orders: OrderReader,
) {
    private val settings = parts.settings
    private val nextRequest = AtomicLong()
    private val leaving = AtomicBoolean(false)

    val isLeaving: Boolean get() = leaving.get()

    /** Removes this entry VM from discovery answers; returns false if it was already removed. */
    fun leaveDiscovery(): Boolean = leaving.compareAndSet(false, true)

    fun frontEnd() = CallerHandlers(
        maximumMessageBytes = settings.maximumMessageBytes,
        metrics = parts.metrics,
        discover = ::discover,
        startRequest = ::begin,
        orderStatus = orders::read,
        toErrorAnswer = ::describe,
    )

    /**
     * Returns entry VMs from the control leader's list, or only this one if the list is empty, as before the first
     * news.
     */
    private fun discover(zone: String?): EntryAddresses {
        val known = parts.catalog.addresses().filter { it.name != settings.name || !isLeaving }
        val own = EntryAddress(settings.name, settings.listenAddress, settings.availabilityZone)
        return EntryDirectory.forCaller(
            entries = known.ifEmpty { listOf(own) },
            zone = zone,
            lifetimeMilliseconds = settings.discoveryLifetimeMilliseconds,
            random = parts.environment.random,
        )
    }

    private fun begin(request: CallerRequest): CallerSession {
        val requestId = "${settings.name}-${parts.identity.incarnation}-${nextRequest.incrementAndGet()}"
        val session = CallerSession(requestId, onDisconnect = { abandon(requestId) })
        parts.sessions.open(session)
        val now = parts.now()
        val start = IncomingRequest(
            requestId = requestId,
            service = request.service,
            keyDigest = request.keyDigest,
            body = request.body,
            bodyDigest = request.bodyDigest,
            priority = request.priority,
            deadlineMilliseconds = now + (request.deadlineMilliseconds ?: settings.defaultDeadlineMilliseconds),
            orderKey = request.orderKey,
        )
        Logger.debug { "event=request_begun request=$requestId service=${request.service}" }
        performer.perform(parts.controller.start(start, now))
        return session
    }

    private fun abandon(requestId: String) {
        parts.sessions.close(requestId)
        performer.perform(parts.controller.cancel(requestId, parts.now()))
    }

    private fun describe(failure: Failure): ErrorAnswer {
        val answer = errorAnswerOf(failure)
        return when (failure.code) {
            ResultCode.DRAINING, ResultCode.ENTRY_CUT_OFF ->
                answer.copy(otherEntries = parts.catalog.addresses().filter { it.name != settings.name })
            ResultCode.OVERLOADED, ResultCode.ACCOUNT_LIMIT, ResultCode.NO_BACK_END, ResultCode.ORDER_IN_PROGRESS ->
                answer.copy(retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS)
            else -> answer
        }
    }
}
