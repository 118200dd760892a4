package cassiaspindle.entry.admission

import cassiaspindle.core.identity.Digest
import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.catalog.ServiceCatalog
import cassiaspindle.schema.ServiceDocument
import java.util.concurrent.atomic.AtomicBoolean

/** What admission looks at in a request. */
data class AdmissionRequest(
    val service: String,
    /** Hexadecimal SHA-256 of the key that the caller showed. */
    val keyDigest: String,
    val isOrder: Boolean,
    /** Monotonic time by which the whole answer must be given. */
    val deadlineMilliseconds: Long,
)

/** Admits or refuses requests while it is still certain that they did not run. */
class AdmissionControl(private val catalog: ServiceCatalog) {
    private val limits = AccountLimits()
    private val draining = AtomicBoolean(false)

    /** Refuses everything from now on. */
    fun close() = draining.set(true)

    /** Admits a request and counts it, until [leave]. */
    fun enter(question: AdmissionRequest, nowMilliseconds: Long): Admission {
        val refusal = when {
            draining.get() -> ResultCode.DRAINING
            !catalog.hasLease(nowMilliseconds) -> ResultCode.ENTRY_CUT_OFF
            question.deadlineMilliseconds <= nowMilliseconds -> ResultCode.DEADLINE_TOO_SHORT
            else -> null
        }
        return if (refusal != null) Admission.Refused(refusal) else enterService(question)
    }

    /** Counts a request of [account] as over. */
    fun leave(service: String, account: String) = limits.leave(service, account)

    /** The client account that shows the key with [keyDigest] to [service]. */
    fun identify(service: String, keyDigest: String): Admission {
        val document = catalog.find(service)
        val caller = document?.callers?.firstOrNull { Digest.constantTimeEquals(it.keyDigest, keyDigest) }
        return when {
            document == null -> Admission.Refused(ResultCode.UNKNOWN_SERVICE)
            caller == null -> Admission.Refused(ResultCode.UNAUTHENTICATED)
            else -> Admission.Admitted(document, caller)
        }
    }

    private fun enterService(question: AdmissionRequest): Admission {
        val admission = identify(question.service, question.keyDigest)
        return when {
            admission !is Admission.Admitted -> admission
            admission.document.takesOrders() && !question.isOrder -> Admission.Refused(ResultCode.ORDER_EXPECTED)
            !limits.enter(question.service, admission.caller) -> Admission.Refused(ResultCode.ACCOUNT_LIMIT)
            else -> admission
        }
    }

    /** Whether the pipeline holds a call that may not be repeated, so that it takes orders only. */
    private fun ServiceDocument.takesOrders(): Boolean = stages.any { it.call?.repeatable == false }
}
