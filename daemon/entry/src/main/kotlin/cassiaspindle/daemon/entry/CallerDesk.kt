package cassiaspindle.daemon.entry

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.catalog.ServiceCatalog
import cassiaspindle.entry.discovery.EntryDirectory
import cassiaspindle.entry.request.Admission
import cassiaspindle.entry.request.EntryIdentity
import cassiaspindle.entry.request.RequestController
import cassiaspindle.entry.request.RequestStart
import cassiaspindle.schema.EntryAddress
import cassiaspindle.schema.EntryAddresses
import cassiaspindle.schema.EntrySettings
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderStatus
import cassiaspindle.transport.http.caller.CallerFrontEnd
import cassiaspindle.transport.http.caller.CallerRequest
import cassiaspindle.transport.http.caller.CallerSession
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.http.server.errorAnswerOf
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

private const val ORDER_READ_MILLISECONDS = 3_000L
private const val RETRY_AFTER_MILLISECONDS = 500L

/** Serves callers: discovery, requests, orders and the status of orders. */
internal class CallerDesk(
    private val settings: EntrySettings,
    private val environment: EntryEnvironment,
    private val identity: EntryIdentity,
    private val metrics: Metrics,
    private val catalog: ServiceCatalog,
    private val controller: RequestController,
    private val controls: ControlLink,
    private val performer: EffectPerformer,
    private val sessions: CallerSessions,
) {
    private val nextRequest = AtomicLong()
    private val leaving = AtomicBoolean(false)

    val isLeaving: Boolean get() = leaving.get()

    /** Leaves the answers of discovery; false where it had left before. */
    fun leaveDiscovery(): Boolean = leaving.compareAndSet(false, true)

    fun frontEnd() = CallerFrontEnd(
        maximumMessageBytes = settings.maximumMessageBytes,
        metrics = metrics,
        discover = ::discover,
        begin = ::begin,
        orderStatus = ::orderStatus,
        describe = ::describe,
    )

    private fun discover(zone: String?): EntryAddresses = EntryDirectory.forCaller(
        all = others() + listOfNotNull(ownAddress().takeIf { !isLeaving }),
        zone = zone,
        lifetimeMilliseconds = settings.discoveryLifetimeMilliseconds,
        random = environment.random,
    )

    private fun begin(request: CallerRequest): CallerSession {
        val requestId = "${settings.name}-${identity.incarnation}-${nextRequest.incrementAndGet()}"
        val session = CallerSession(requestId, abandon = { abandon(requestId) })
        sessions.open(session)
        val now = now()
        val start = RequestStart(
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
        performer.perform(controller.start(start, now))
        return session
    }

    private fun abandon(requestId: String) {
        sessions.close(requestId)
        performer.perform(controller.cancel(requestId, now()))
    }

    private suspend fun orderStatus(
        service: String,
        keyDigest: String,
        key: OrderKey,
    ): Result<OrderStatus, Failure> = when (val admission = controller.account(service, keyDigest)) {
        is Admission.Refused -> Err(Failure(admission.code))
        is Admission.Admitted -> readOrder(service, OrderName(admission.caller.account, key.text))
    }

    private suspend fun readOrder(service: String, name: OrderName): Result<OrderStatus, Failure> {
        val outcome = controls.readOrder(name, ORDER_READ_MILLISECONDS)
        val order = outcome?.order
        return when {
            outcome == null -> Err(Failure(ResultCode.CONTROL_UNREACHABLE))
            order == null || order.intent.service != service -> Err(Failure(ResultCode.UNKNOWN_ORDER))
            else -> Ok(statusOf(order))
        }
    }

    private fun statusOf(record: OrderRecord) = OrderStatus(
        account = record.intent.name.account,
        key = record.intent.name.key,
        service = record.intent.service,
        state = record.state,
        output = record.output,
        code = record.code,
        entry = record.intent.entry,
    )

    private fun describe(failure: Failure): ErrorAnswer {
        val answer = errorAnswerOf(failure)
        return when (failure.code) {
            ResultCode.DRAINING, ResultCode.ENTRY_CUT_OFF -> answer.copy(otherEntries = others())
            ResultCode.OVERLOADED, ResultCode.ACCOUNT_LIMIT, ResultCode.NO_BACK_END, ResultCode.ORDER_IN_PROGRESS ->
                answer.copy(retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS)
            else -> answer
        }
    }

    private fun others(): List<EntryAddress> = catalog.addresses().filter { it.name != settings.name }

    private fun ownAddress() =
        EntryAddress(settings.name, advertised(), settings.availabilityZone)

    /** The own address as the control leader gives it to callers; the listening one before the first news. */
    private fun advertised(): String =
        catalog.addresses().firstOrNull { it.name == settings.name }?.address ?: settings.listenAddress

    private fun now(): Long = environment.clock.monotonicMilliseconds()
}
