package cassiaspindle.command.operator

import cassiaspindle.command.ExitStatusHolder
import cassiaspindle.command.NestedCommand
import cassiaspindle.command.ProgramCommand
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderResolution
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.OrderStatus
import com.github.michaelbull.result.onSuccess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required

/** `orders`: lists and settles orders of the ledger. */
@OptIn(ExperimentalCli::class)
internal class OrdersCommand(exitStatus: ExitStatusHolder) : ProgramCommand(
    "orders",
    "List and settle orders",
    listOf(OrdersListCommand(exitStatus), OrdersSettleCommand(exitStatus)),
)

/** `orders list`: prints the orders without an outcome. */
@OptIn(ExperimentalCli::class)
internal class OrdersListCommand(exitStatus: ExitStatusHolder) :
    NestedCommand("list", "List orders without an outcome", exitStatus) {
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()
    private val inDoubt by option(ArgType.Boolean, "in-doubt", description = "Only those in doubt").default(false)

    override fun execute() {
        val listed = withOperatorSession(settings) { it.operatorClient.unsettledOrders() }
        listed.onSuccess { list ->
            list.orders.filter { !inDoubt || it.state == OrderState.IN_DOUBT }.forEach { println(describe(it)) }
        }
        exitStatus.record(listed)
    }
}

/** `orders settle`: records the outcome of an order in doubt; the order is not run again. */
@OptIn(ExperimentalCli::class)
internal class OrdersSettleCommand(exitStatus: ExitStatusHolder) :
    NestedCommand("settle", "Settle an order that is in doubt", exitStatus) {
    private val account by argument(ArgType.String, description = "The client account")
    private val key by argument(ArgType.String, description = "The Idempotency-Key")
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()
    private val state by option(
        ArgType.Choice(listOf("done", "not-run"), { it }),
        "state",
        description = "What is known",
    ).required()
    private val output by option(ArgType.String, "output", description = "The outcome of a done order").default("")

    override fun execute() {
        val resolution = OrderResolution(
            name = OrderName(account, key),
            state = if (state == "done") OrderState.DONE else OrderState.NOT_RUN,
            entry = "operator",
            entryIncarnation = 0,
            output = output.takeIf { state == "done" },
        )
        val settled = withOperatorSession(settings) { it.operatorClient.settle(resolution) }
        settled.onSuccess { println(describe(it)) }
        exitStatus.record(settled)
    }
}

private fun describe(order: OrderStatus): String =
    "account=${order.account} key=${order.key} service=${order.service} state=${order.state} " +
        "entry=${order.entry} output=\"${order.output.orEmpty()}\""
