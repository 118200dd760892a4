package cassiaspindle.daemon.control

import cassiaspindle.codec.digestOf
import cassiaspindle.control.document.DocumentCheck
import cassiaspindle.control.group.ControlNode
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.ControlSettings
import cassiaspindle.schema.ControlStatus
import cassiaspindle.schema.DocumentApplied
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.OrderList
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderResolution
import cassiaspindle.schema.OrderStatus
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.transport.http.operator.ControlFrontEnd
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.http.server.errorAnswerOf
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

private const val COMMAND_MILLISECONDS = 4_000L

/** Answers operators from the state of the control node. */
internal class OperatorDesk(
    private val settings: ControlSettings,
    private val environment: ControlEnvironment,
    private val metrics: Metrics,
    private val node: () -> ControlNode?,
    private val submit: (ControlCommand, CommandAnswer) -> Unit,
) {
    fun frontEnd() = ControlFrontEnd(
        key = environment.keys.operator,
        maximumMessageBytes = settings.maximumMessageBytes,
        metrics = metrics,
        apply = ::apply,
        show = { service -> read { it.document(service)?.let { found -> Ok(found) } ?: refuse(ResultCode.UNKNOWN_DOCUMENT) } },
        history = { service -> read { Ok(it.history(service)) } },
        status = ::status,
        unsettledOrders = { read { node -> Ok(OrderList(node.unsettledOrders(now()).map { statusOf(node, it) })) } },
        settle = ::settle,
    )

    private suspend fun apply(document: ServiceDocument): Result<DocumentApplied, ErrorAnswer> {
        DocumentCheck.firstProblem(document)?.let {
            return Err(errorAnswerOf(Failure(ResultCode.DOCUMENT_INVALID, it)))
        }
        val command = ControlCommand(ControlCommandKind.APPLY_DOCUMENT, document, digestOf(document))
        return decide(command).flatMap { outcome ->
            val stored = outcome.document
            if (stored == null) refuse(ResultCode.LEADERSHIP_LOST) else Ok(applied(document, stored.sequence, stored.digest))
        }
    }

    private fun applied(document: ServiceDocument, sequence: Long, digest: String): DocumentApplied {
        val running = node()
        return DocumentApplied(
            service = document.service,
            version = document.version,
            sequence = sequence,
            digest = digest,
            inForce = running?.isInForce(sequence, now()) ?: false,
            lacking = running?.lacking(sequence, now()).orEmpty(),
        )
    }

    private suspend fun settle(resolution: OrderResolution): Result<OrderStatus, ErrorAnswer> =
        decide(ControlCommand(ControlCommandKind.RECORD_OUTCOME, resolution = resolution)).flatMap { outcome ->
            val running = node()
            val order = outcome.order
            if (running == null || order == null) refuse(ResultCode.UNKNOWN_ORDER) else Ok(statusOf(running, order))
        }

    private suspend fun decide(command: ControlCommand): Result<CommandOutcome, ErrorAnswer> {
        val decided = CompletableDeferred<Result<CommandOutcome, ErrorAnswer>>()
        submit(command) { outcome, leader -> decided.complete(resultOf(outcome, leader)) }
        return withTimeoutOrNull(COMMAND_MILLISECONDS) { decided.await() } ?: refuse(ResultCode.LEADERSHIP_LOST)
    }

    private fun resultOf(outcome: CommandOutcome, leader: String?): Result<CommandOutcome, ErrorAnswer> {
        val code = ResultCode.ofNumber(outcome.code) ?: ResultCode.MALFORMED
        if (code == ResultCode.OK) return Ok(outcome)
        return Err(errorAnswerOf(Failure(code)).copy(leader = leader, digest = outcome.digest))
    }

    private fun <Value> read(answer: (ControlNode) -> Result<Value, ErrorAnswer>): Result<Value, ErrorAnswer> {
        val running = node()
        val readable = running?.canReadDocuments(now()) ?: false
        return if (running == null || !readable) refuse(ResultCode.NOT_LEADER) else answer(running)
    }

    private fun status(): ControlStatus =
        node()?.status(now()) ?: ControlStatus(settings.name, emptyList(), emptyList())

    private fun statusOf(node: ControlNode, record: OrderRecord) = OrderStatus(
        account = record.intent.name.account,
        key = record.intent.name.key,
        service = record.intent.service,
        state = node.stateOf(record, now()),
        output = record.output,
        code = record.code,
        entry = record.intent.entry,
    )

    private fun refuse(code: ResultCode): Result<Nothing, ErrorAnswer> = Err(errorAnswerOf(Failure(code)))

    private fun now(): Long = environment.clock.monotonicMilliseconds()
}
