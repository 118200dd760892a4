package cassiaspindle.entry.admission

import cassiaspindle.core.identity.Digest
import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.catalog.ServiceCatalog
import cassiaspindle.schema.ServiceDocument
import java.util.concurrent.atomic.AtomicBoolean

/** The properties of a request that admission control checks. */
data class AdmissionRequest(
    val service: String,
    /** Hexadecimal SHA-256 of the caller's key. */
    val keyDigest: String,
    val isOrder: Boolean,
    /** Monotonic time by which the complete answer is due. */
    val deadlineMilliseconds: Long,
)

/** Admits or refuses requests before any part of them is sent out, so that a refused request certainly did not run. */
class AdmissionControl(private val catalog: ServiceCatalog) {
    private val limits = AccountLimits()
    private val draining = AtomicBoolean(false)

    /** Refuses all further requests. */
    fun refuseAll() = draining.set(true)

    /** Admits a request and counts it as in flight until [release]. */
    fun admit(request: AdmissionRequest, nowMilliseconds: Long): Admission {
        val refusal = refusalOfAll(nowMilliseconds)
            ?: ResultCode.DEADLINE_TOO_SHORT.takeIf { request.deadlineMilliseconds <= nowMilliseconds }
        return if (refusal != null) Admission.Refused(refusal) else admitToService(request)
    }

    /** Returns why a request of the caller with [keyDigest] is refused whatever its body is, or null if it isn't. */
    fun refusalBeforeBody(service: String, keyDigest: String, nowMilliseconds: Long): ResultCode? =
        refusalOfAll(nowMilliseconds) ?: (authenticate(service, keyDigest) as? Admission.Refused)?.code

    /** Removes a finished request of [account] from the count. */
    fun release(service: String, account: String) = limits.release(service, account)

    /** Authenticates the caller of [service] by the [keyDigest] of its key. */
    fun authenticate(service: String, keyDigest: String): Admission {
        val document = catalog.find(service)
        val caller = document?.callers?.firstOrNull { Digest.constantTimeEquals(it.keyDigest, keyDigest) }
        return when {
            document == null -> Admission.Refused(ResultCode.UNKNOWN_SERVICE)
            caller == null -> Admission.Refused(ResultCode.UNAUTHENTICATED)
            else -> Admission.Admitted(document, caller)
        }
    }

    private fun refusalOfAll(nowMilliseconds: Long): ResultCode? = when {
        draining.get() -> ResultCode.DRAINING
        !catalog.hasLease(nowMilliseconds) -> ResultCode.ENTRY_CUT_OFF
        else -> null
    }

    private fun admitToService(request: AdmissionRequest): Admission {
        val admission = authenticate(request.service, request.keyDigest)
        return when {
            admission !is Admission.Admitted -> admission
            admission.document.acceptsOrdersOnly() && !request.isOrder -> Admission.Refused(ResultCode.ORDER_EXPECTED)
            !limits.tryAcquire(request.service, admission.caller) -> Admission.Refused(ResultCode.ACCOUNT_LIMIT)
            else -> admission
        }
    }

    /** Whether the pipeline contains a non-repeatable call, in which case the service accepts orders only. */
    private fun ServiceDocument.acceptsOrdersOnly(): Boolean = stages.any { it.call?.repeatable == false }
}
