package cassiaspindle.entry.admission

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.AllowedCaller
import cassiaspindle.schema.ServiceDocument

/** Whether a caller may use a service. */
sealed interface Admission {
    /** It may, under [document]. */
    data class Admitted(val document: ServiceDocument, val caller: AllowedCaller) : Admission

    /** It may not. */
    data class Refused(val code: ResultCode) : Admission
}
