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
    private var lastTicket = 0L
    private val pendingCommands = mutableMapOf<Long, ControlCommand>()
    private val keys = List(ORDER_COUNT) { OrderKey.of(WALL_MILLISECONDS, it, it.toLong()).text }

    /** Sends a random command to [replica]. */
    fun sendRandomCommand(replica: ControlReplica, nowMilliseconds: Long): List<ControlEffect> {
        val command = when (random.nextInt(COMMAND_CHOICES)) {
            0 -> documentCommand(replica)
            1 -> outcomeCommand()
            else -> intentCommand()
        }
        val ticket = ++lastTicket
        pendingCommands[ticket] = command
        val effects = replica.submit(command, ticket, nowMilliseconds, WALL_MILLISECONDS)
        if (faults.treatsAsAnswer(effects)) treatAsAnswer(command)
        return effects
    }

    /** Handles the answer to a command. */
    fun handleAnswer(answer: ControlEffect.Answer) {
        val command = pendingCommands.remove(answer.ticket) ?: return
        if (answer.outcome.code != ResultCode.OK.number) return
        val intent = command.intent
        answer.outcome.document?.let(oracle::recordAccepted)
        if (intent != null) oracle.recordDispatchPermission(intent.name, intent.requestId)
        if (intent == null) answer.outcome.order?.let(oracle::recordOrderState)
    }

    /** Reads a document and an order from [replica], if it can answer. */
    fun read(replica: ControlReplica, nowMilliseconds: Long) {
        val service = randomService()
        val canRead = replica.reads.canReadDocuments(nowMilliseconds)
        if (faults.answersRead(canRead)) {
            oracle.checkDocumentRead(service, oracle.acceptedVersions[service] ?: 0, replica.reads.document(service))
        }
        oracle.orders.randomOrNull(random)?.let { oracle.checkOrderRead(it, replica.reads.order(it, nowMilliseconds)) }
    }

    private fun treatAsAnswer(command: ControlCommand) {
        command.intent?.let { oracle.recordDispatchPermission(it.name, it.requestId) }
    }

    /**
     * Returns a document with the next version by the state of [replica], or at times with the current version, which
     * is outdated.
     */
    private fun documentCommand(replica: ControlReplica): ControlCommand {
        val service = randomService()
        val currentVersion = replica.reads.document(service)?.document?.version ?: 0
        val version = (currentVersion + random.nextInt(VERSION_CHOICES)).coerceAtLeast(1)
        val digest = "$service/$version/${random.nextInt(OPERATOR_COUNT)}"
        val document = ServiceDocument(service, version, emptyList(), emptyList())
        return ControlCommand(ControlCommandKind.APPLY_DOCUMENT, document, digest)
    }

    private fun intentCommand(): ControlCommand = ControlCommand(
        kind = ControlCommandKind.RECORD_INTENT,
        intent = OrderIntent(
            name = randomOrderName(),
            requestId = "request-${random.nextInt(REQUEST_COUNT)}",
            service = "orders",
            bodyDigest = "body",
            entry = "entry",
            entryIncarnation = 1,
            atMilliseconds = 0,
        ),
    )

    private fun outcomeCommand(): ControlCommand {
        val output = "output-${random.nextInt(REQUEST_COUNT)}"
        val resolution = OrderResolution(randomOrderName(), OrderState.DONE, "entry", 1, output)
        return ControlCommand(ControlCommandKind.RECORD_OUTCOME, resolution = resolution)
    }

    private fun randomOrderName() = OrderName("account", keys.random(random))

    private fun randomService() = "service-${random.nextInt(SERVICE_COUNT)}"

    private companion object {
        const val ORDER_COUNT = 40
        const val REQUEST_COUNT = 1_000_000
        const val SERVICE_COUNT = 2
        const val OPERATOR_COUNT = 3
        const val VERSION_CHOICES = 2
        const val COMMAND_CHOICES = 4
    }
}
