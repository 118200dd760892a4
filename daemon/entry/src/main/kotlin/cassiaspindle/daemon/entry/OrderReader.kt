package cassiaspindle.daemon.entry

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.order.toStatus
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.admission.Admission
import cassiaspindle.entry.admission.AdmissionControl
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderStatus
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

private const val ORDER_READ_TIMEOUT_MILLISECONDS = 3_000L

/** Reads the status of orders from the ledger on behalf of callers. */
internal class OrderReader(private val admission: AdmissionControl, private val controlClient: ControlClient) {
    /** Returns the status of an order of the client account that [keyDigest] authenticates. */
    suspend fun read(service: String, keyDigest: String, key: OrderKey): Result<OrderStatus, Failure> =
        when (val authentication = admission.authenticate(service, keyDigest)) {
            is Admission.Refused -> Err(Failure(authentication.code))
            is Admission.Admitted -> read(service, OrderName(authentication.caller.account, key.text))
        }

    private suspend fun read(service: String, name: OrderName): Result<OrderStatus, Failure> {
        val outcome = controlClient.readOrder(name, ORDER_READ_TIMEOUT_MILLISECONDS)
        val order = outcome?.order
        return when {
            outcome == null -> Err(Failure(ResultCode.CONTROL_UNREACHABLE))
            order == null || order.intent.service != service -> Err(Failure(ResultCode.UNKNOWN_ORDER))
            else -> Ok(order.toStatus())
        }
    }
}
