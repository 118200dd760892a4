package cassiaspindle.history.control

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.control.group.ControlReplica
import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.OrderIntent
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderResolution
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.ServiceDocument
import kotlin.random.Random

private const val WALL_MILLISECONDS = 10_000_000L

/** Simulates competing operators and entry VMs that resend commands, and reports their answers to the oracle. */
internal class SimulatedClients(
    private val random: Random,
    private val oracle: ControlOracle,
    private val faults: ControlFaults,
) {
    private var nextTicket = 0L
    private val waiting = mutableMapOf<Long, ControlCommand>()
    private val keys = List(ORDERS) { OrderKey.of(WALL_MILLISECONDS, it, it.toLong()).text }

    /** Sends a random command to [node]. */
    fun act(node: ControlReplica, nowMilliseconds: Long): List<ControlEffect> {
        val command = when (random.nextInt(COMMAND_SHAPES)) {
            0 -> document(node)
            1 -> outcome()
            else -> intent()
        }
        val ticket = ++nextTicket
        waiting[ticket] = command
        val effects = node.submit(command, ticket, nowMilliseconds, WALL_MILLISECONDS)
        if (faults.takesForAnswer(effects)) takeForAnswer(command)
        return effects
    }

    /** Handles the answer to a command. */
    fun answered(answer: ControlEffect.Answer) {
        val command = waiting.remove(answer.ticket) ?: return
        if (answer.outcome.code != ResultCode.OK.number) return
        val intent = command.intent
        answer.outcome.document?.let(oracle::accepted)
        if (intent != null) oracle.mayDispatch(intent.name, intent.requestId)
        if (intent == null) answer.outcome.order?.let(oracle::told)
    }

    /** Reads a document and an order from [node], if it can answer. */
    fun read(node: ControlReplica, nowMilliseconds: Long) {
        val service = service()
        val canRead = node.reads.canReadDocuments(nowMilliseconds)
        if (faults.answersRead(canRead)) {
            oracle.readDocument(service, oracle.documents[service] ?: 0, node.reads.document(service))
        }
        oracle.orders.randomOrNull(random)?.let { oracle.readOrder(it, node.reads.order(it, nowMilliseconds)) }
    }

    private fun takeForAnswer(command: ControlCommand) {
        command.intent?.let { oracle.mayDispatch(it.name, it.requestId) }
    }

    /**
     * Returns a document with the next version by the state of [node], or at times with its current, outdated version.
     */
    private fun document(node: ControlReplica): ControlCommand {
        val service = service()
        val known = node.reads.document(service)?.document?.version ?: 0
        val version = (known + random.nextInt(VERSION_SPREAD)).coerceAtLeast(1)
        val digest = "$service/$version/${random.nextInt(OPERATORS)}"
        val document = ServiceDocument(service, version, emptyList(), emptyList())
        return ControlCommand(ControlCommandKind.APPLY_DOCUMENT, document, digest)
    }

    private fun intent(): ControlCommand = ControlCommand(
        kind = ControlCommandKind.RECORD_INTENT,
        intent = OrderIntent(
            name = orderName(),
            requestId = "request-${random.nextInt(REQUESTS)}",
            service = "orders",
            bodyDigest = "body",
            entry = "entry",
            entryIncarnation = 1,
            atMilliseconds = 0,
        ),
    )

    private fun outcome(): ControlCommand {
        val output = "output-${random.nextInt(REQUESTS)}"
        val resolution = OrderResolution(orderName(), OrderState.DONE, "entry", 1, output)
        return ControlCommand(ControlCommandKind.RECORD_OUTCOME, resolution = resolution)
    }

    private fun orderName() = OrderName("account", keys.random(random))

    private fun service() = "service-${random.nextInt(SERVICES)}"

    private companion object {
        const val ORDERS = 40
        const val REQUESTS = 1_000_000
        const val SERVICES = 2
        const val OPERATORS = 3
        const val VERSION_SPREAD = 2
        const val COMMAND_SHAPES = 4
    }
}
