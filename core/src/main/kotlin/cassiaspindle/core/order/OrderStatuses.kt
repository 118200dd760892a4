package cassiaspindle.core.order

import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.OrderStatus

/** Converts the record to the status for callers and operators, with [state] as its current state. */
fun OrderRecord.toStatus(state: OrderState = this.state) = OrderStatus(
    account = intent.name.account,
    key = intent.name.key,
    service = intent.service,
    state = state,
    output = output,
    code = code,
    entry = intent.entry,
)
