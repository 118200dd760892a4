package cassiaspindle.command.operator

import cassiaspindle.codec.SettingsReader
import cassiaspindle.codec.encodePrettyJson
import cassiaspindle.command.ExitStatusHolder
import cassiaspindle.command.NestedCommand
import cassiaspindle.command.ProgramCommand
import cassiaspindle.control.document.DocumentCheck
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.schema.DocumentApplied
import cassiaspindle.schema.ServiceDocument
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onSuccess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.delay
import kotlinx.serialization.serializer
import java.nio.file.Path

private const val IN_FORCE_TIMEOUT_MILLISECONDS = 10_000L
private const val RETRY_INTERVAL_MILLISECONDS = 100L

/** `document`: applies and shows service documents. */
@OptIn(ExperimentalCli::class)
internal class DocumentCommand(exitStatus: ExitStatusHolder) : ProgramCommand(
    "document",
    "Apply and show service documents",
    listOf(DocumentApplyCommand(exitStatus), DocumentShowCommand(exitStatus), DocumentHistoryCommand(exitStatus)),
)

/** `document apply`: validates a service document and submits it to the control replicas. */
@OptIn(ExperimentalCli::class)
internal class DocumentApplyCommand(exitStatus: ExitStatusHolder) :
    NestedCommand("apply", "Apply a service document", exitStatus) {
    private val file by argument(ArgType.String, description = "The document")
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()
    private val wait by option(ArgType.Boolean, "wait", description = "Wait until it is in force everywhere")
        .default(false)

    override fun execute() {
        val applied = readDocument(file).flatMap { document ->
            withOperatorSession(settings) { session ->
                if (wait) applyAndWait(session, document) else session.operatorClient.apply(document)
            }
        }
        applied.onSuccess { println(describe(it)) }
        exitStatus.record(applied.flatMap(::checkInForce))
    }

    /** Resubmits the document, which is idempotent, until every entry VM has applied it or the wait times out. */
    private suspend fun applyAndWait(
        session: OperatorSession,
        document: ServiceDocument,
    ): Result<DocumentApplied, Failure> {
        val deadlineMilliseconds = Clock.system.monotonicMilliseconds() + IN_FORCE_TIMEOUT_MILLISECONDS
        var applied = session.operatorClient.apply(document)
        while (applied.get()?.inForce == false && Clock.system.monotonicMilliseconds() < deadlineMilliseconds) {
            delay(RETRY_INTERVAL_MILLISECONDS)
            applied = session.operatorClient.apply(document)
        }
        return applied
    }

    private fun checkInForce(applied: DocumentApplied): Result<Unit, Failure> =
        if (wait && !applied.inForce) Err(Failure(ResultCode.ENTRY_CUT_OFF, describe(applied))) else Ok(Unit)

    private fun describe(applied: DocumentApplied): String =
        "service=${applied.service} version=${applied.version} sequence=${applied.sequence} " +
            "digest=${applied.digest} in_force=${applied.inForce} lacking=${applied.lacking.joinToString(",")}"
}

/** `document show`: prints the newest document of a service. */
@OptIn(ExperimentalCli::class)
internal class DocumentShowCommand(exitStatus: ExitStatusHolder) :
    NestedCommand("show", "Show the document of a service", exitStatus) {
    private val service by argument(ArgType.String, description = "The service")
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()

    override fun execute() {
        val shown = withOperatorSession(settings) { it.operatorClient.show(service) }
        shown.onSuccess { println(encodePrettyJson(serializer(), it.document)) }
        exitStatus.record(shown)
    }
}

/** `document history`: prints the accepted versions of a document. */
@OptIn(ExperimentalCli::class)
internal class DocumentHistoryCommand(exitStatus: ExitStatusHolder) :
    NestedCommand("history", "Show the accepted versions of a document", exitStatus) {
    private val service by argument(ArgType.String, description = "The service")
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()

    override fun execute() {
        val result = withOperatorSession(settings) { it.operatorClient.history(service) }
        result.onSuccess { history ->
            history.versions.forEach { println("version=${it.version} sequence=${it.sequence} digest=${it.digest}") }
        }
        exitStatus.record(result)
    }
}

/** Reads and validates the service document in [file]. */
internal fun readDocument(file: String): Result<ServiceDocument, Failure> = SettingsReader.readText(Path.of(file))
    .flatMap(SettingsReader::decodeDocument)
    .flatMap { document ->
        val problem = DocumentCheck.firstProblem(document)
        if (problem == null) Ok(document) else Err(Failure(ResultCode.DOCUMENT_INVALID, problem))
    }
