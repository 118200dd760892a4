package cassiaspindle.daemon.control

import cassiaspindle.codec.digestOf
import cassiaspindle.control.document.DocumentCheck
import cassiaspindle.control.group.ControlReplica
import cassiaspindle.core.order.toStatus
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
import cassiaspindle.schema.StoredDocument
import cassiaspindle.transport.http.operator.ControlHandlers
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.http.server.errorAnswerOf
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.toResultOr
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

private const val COMMAND_TIMEOUT_MILLISECONDS = 4_000L

/** Answers the requests of operators. */
internal class OperatorRequestHandler(
    private val settings: ControlSettings,
    private val environment: ControlEnvironment,
    private val metrics: Metrics,
    private val driver: ControlReplicaDriver,
) {
    fun handlers() = ControlHandlers(
        key = environment.keys.operator,
        maximumMessageBytes = settings.maximumMessageBytes,
        metrics = metrics,
        apply = ::apply,
        show = { service ->
            read { replica ->
                replica.reads.document(
                    service
                ).toResultOr { errorOf(ResultCode.UNKNOWN_DOCUMENT) }
            }
        },
        history = { service -> read { replica -> Ok(replica.reads.history(service)) } },
        status = ::status,
        unsettledOrders = ::unsettledOrders,
        settle = ::settle,
    )

    private suspend fun apply(document: ServiceDocument): Result<DocumentApplied, ErrorAnswer> {
        val problem = DocumentCheck.firstProblem(document)
        if (problem != null) return Err(errorAnswerOf(Failure(ResultCode.DOCUMENT_INVALID, problem)))
        val command = ControlCommand(ControlCommandKind.APPLY_DOCUMENT, document, digestOf(document))
        return submit(command).flatMap { outcome ->
            outcome.document.toResultOr { errorOf(ResultCode.LEADERSHIP_LOST) }.flatMap { Ok(documentAppliedOf(it)) }
        }
    }

    private fun documentAppliedOf(stored: StoredDocument) = DocumentApplied(
        service = stored.document.service,
        version = stored.document.version,
        sequence = stored.sequence,
        digest = stored.digest,
        inForce = driver.controlReplica?.leases?.isInForce(stored.sequence, driver.now()) ?: false,
        lacking = driver.controlReplica?.leases?.entriesBehind(stored.sequence, driver.now()).orEmpty(),
    )

    /** Unsettled orders of the groups that this replica leads; the operator client queries every replica. */
    private fun unsettledOrders(): Result<OrderList, ErrorAnswer> {
        val replica = driver.controlReplica ?: return Err(errorOf(ResultCode.NOT_LEADER))
        return Ok(OrderList(replica.reads.unsettledOrders(driver.now()).map { statusOf(replica, it) }))
    }

    private suspend fun settle(resolution: OrderResolution): Result<OrderStatus, ErrorAnswer> =
        submit(ControlCommand(ControlCommandKind.RECORD_OUTCOME, resolution = resolution)).flatMap { outcome ->
            outcome.order.toResultOr { errorOf(ResultCode.UNKNOWN_ORDER) }.flatMap { Ok(it.toStatus()) }
        }

    private suspend fun submit(command: ControlCommand): Result<CommandOutcome, ErrorAnswer> {
        val result = CompletableDeferred<Result<CommandOutcome, ErrorAnswer>>()
        driver.submit(command) { outcome, leader -> result.complete(resultOf(outcome, leader)) }
        return withTimeoutOrNull(COMMAND_TIMEOUT_MILLISECONDS) { result.await() }
            ?: Err(errorOf(ResultCode.LEADERSHIP_LOST))
    }

    private fun resultOf(outcome: CommandOutcome, leader: String?): Result<CommandOutcome, ErrorAnswer> {
        val code = ResultCode.ofNumber(outcome.code) ?: ResultCode.MALFORMED
        val refusal = errorOf(code).copy(leader = leader, digest = outcome.digest)
        return if (code == ResultCode.OK) Ok(outcome) else Err(refusal)
    }

    private fun <Value> read(block: (ControlReplica) -> Result<Value, ErrorAnswer>): Result<Value, ErrorAnswer> {
        val replica = driver.controlReplica?.takeIf { it.reads.canReadDocuments(driver.now()) }
        return replica?.let(block) ?: Err(errorOf(ResultCode.NOT_LEADER))
    }

    private fun status(): ControlStatus =
        driver.controlReplica?.status(driver.now()) ?: ControlStatus(settings.name, emptyList(), emptyList())

    private fun statusOf(replica: ControlReplica, record: OrderRecord): OrderStatus =
        record.toStatus(replica.reads.orderStateOf(record, driver.now()))
}

private fun errorOf(code: ResultCode): ErrorAnswer = errorAnswerOf(Failure(code))
