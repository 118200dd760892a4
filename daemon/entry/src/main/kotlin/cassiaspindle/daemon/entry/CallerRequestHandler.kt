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
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

private const val RETRY_AFTER_MILLISECONDS = 500L

/** Handles discovery, requests and orders of callers. */
internal class CallerRequestHandler(
    private val components: EntryComponents,
    private val executor: EffectExecutor,
    private val orderReader: OrderReader,
) {
    private val settings = components.settings
    private val lastRequestNumber = AtomicLong()
    private val leftDiscovery = AtomicBoolean(false)

    val hasLeftDiscovery: Boolean get() = leftDiscovery.get()

    /** Removes this entry VM from discovery answers; returns false if it was already removed. */
    fun leaveDiscovery(): Boolean = leftDiscovery.compareAndSet(false, true)

    fun handlers() = CallerHandlers(
        maximumMessageBytes = settings.maximumMessageBytes,
        metrics = components.metrics,
        discover = ::discover,
        authenticate = ::authenticate,
        startRequest = ::startRequest,
        orderStatus = orderReader::read,
        toErrorAnswer = ::toErrorAnswer,
    )

    /** Returns entry VMs from the control leader's list, or only this one while that list is empty. */
    private fun discover(zone: String?): EntryAddresses {
        val entries = components.catalog.addresses().filter { it.name != settings.name || !hasLeftDiscovery }
        val own = EntryAddress(settings.name, settings.listenAddress, settings.availabilityZone)
        return EntryDirectory.forCaller(
            entries = entries.ifEmpty { listOf(own) },
            zone = zone,
            lifetimeMilliseconds = settings.discoveryLifetimeMilliseconds,
            random = components.environment.random,
        )
    }

    private fun authenticate(service: String, keyDigest: String): Result<Unit, Failure> {
        val refusal = components.admission.refusalBeforeBody(service, keyDigest, components.now())
        return if (refusal == null) Ok(Unit) else Err(Failure(refusal))
    }

    private fun startRequest(request: CallerRequest): CallerSession {
        val requestId = "${settings.name}-${components.identity.incarnation}-${lastRequestNumber.incrementAndGet()}"
        val session = CallerSession(
            requestId,
            onDisconnect = { cancel(requestId) },
            onClosed = { components.sessions.remove(requestId) },
        )
        components.sessions.add(session)
        val now = components.now()
        val incoming = IncomingRequest(
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
        executor.execute(components.controller.start(incoming, now))
        return session
    }

    private fun cancel(requestId: String) {
        components.sessions.remove(requestId)
        executor.execute(components.controller.cancel(requestId, components.now()))
    }

    private fun toErrorAnswer(failure: Failure): ErrorAnswer {
        val answer = errorAnswerOf(failure)
        return when (failure.code) {
            ResultCode.DRAINING, ResultCode.ENTRY_CUT_OFF ->
                answer.copy(otherEntries = components.catalog.addresses().filter { it.name != settings.name })
            ResultCode.OVERLOADED, ResultCode.ACCOUNT_LIMIT, ResultCode.NO_BACK_END, ResultCode.ORDER_IN_PROGRESS ->
                answer.copy(retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS)
            else -> answer
        }
    }
}
