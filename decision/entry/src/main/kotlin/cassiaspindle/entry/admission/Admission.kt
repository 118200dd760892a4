package cassiaspindle.entry.admission

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.AllowedCaller
import cassiaspindle.schema.ServiceDocument

/** Result of checking whether a caller may use a service. */
sealed interface Admission {
    /** The request is admitted under [document]. */
    data class Admitted(val document: ServiceDocument, val caller: AllowedCaller) : Admission

    /** The request is refused with [code]. */
    data class Refused(val code: ResultCode) : Admission
}
