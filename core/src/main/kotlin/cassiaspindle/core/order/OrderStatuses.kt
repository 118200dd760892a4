package cassiaspindle.core.order

import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.OrderStatus

/** What callers and operators are told of a record whose state is known to be [state]. */
fun OrderRecord.toStatus(state: OrderState = this.state) = OrderStatus(
    account = intent.name.account,
    key = intent.name.key,
    service = intent.service,
    state = state,
    output = output,
    code = code,
    entry = intent.entry,
)
