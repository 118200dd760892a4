package cassiaspindle.command.operator

import cassiaspindle.codec.SettingsReader
import cassiaspindle.codec.encodePrettyJson
import cassiaspindle.command.CommandOutcomeHolder
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

private const val IN_FORCE_MILLISECONDS = 10_000L
private const val ASK_AGAIN_MILLISECONDS = 100L

/** `document`: applies and shows service documents. */
@OptIn(ExperimentalCli::class)
internal class DocumentCommand(outcome: CommandOutcomeHolder) : ProgramCommand(
    "document",
    "Apply and show service documents",
    listOf(DocumentApplyCommand(outcome), DocumentShowCommand(outcome), DocumentHistoryCommand(outcome)),
)

/** `document apply`: validates a service document and submits it to the control replicas. */
@OptIn(ExperimentalCli::class)
internal class DocumentApplyCommand(outcome: CommandOutcomeHolder) :
    NestedCommand("apply", "Apply a service document", outcome) {
    private val file by argument(ArgType.String, description = "The document")
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()
    private val wait by option(ArgType.Boolean, "wait", description = "Wait until it is in force everywhere")
        .default(false)

    override fun execute() {
        val applied = readDocument(file).flatMap { document ->
            withOperator(settings) { session ->
                if (wait) applyAndWait(session, document) else session.client.apply(document)
            }
        }
        applied.onSuccess { println(describe(it)) }
        outcome.take(applied.flatMap(::checkInForce))
    }

    /** Resubmits the document, which is idempotent, until every entry VM has applied it or the wait times out. */
    private suspend fun applyAndWait(
        session: OperatorSession,
        document: ServiceDocument,
    ): Result<DocumentApplied, Failure> {
        val end = Clock.system.monotonicMilliseconds() + IN_FORCE_MILLISECONDS
        var applied = session.client.apply(document)
        while (applied.get()?.inForce == false && Clock.system.monotonicMilliseconds() < end) {
            delay(ASK_AGAIN_MILLISECONDS)
            applied = session.client.apply(document)
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
internal class DocumentShowCommand(outcome: CommandOutcomeHolder) :
    NestedCommand("show", "Show the document of a service", outcome) {
    private val service by argument(ArgType.String, description = "The service")
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()

    override fun execute() {
        val shown = withOperator(settings) { it.client.show(service) }
        shown.onSuccess { println(encodePrettyJson(serializer(), it.document)) }
        outcome.take(shown)
    }
}

/** `document history`: prints the accepted versions of a document. */
@OptIn(ExperimentalCli::class)
internal class DocumentHistoryCommand(outcome: CommandOutcomeHolder) :
    NestedCommand("history", "Show the accepted versions of a document", outcome) {
    private val service by argument(ArgType.String, description = "The service")
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()

    override fun execute() {
        val history = withOperator(settings) { it.client.history(service) }
        history.onSuccess { found ->
            found.versions.forEach { println("version=${it.version} sequence=${it.sequence} digest=${it.digest}") }
        }
        outcome.take(history)
    }
}

/** Reads and validates the service document in [file]. */
internal fun readDocument(file: String): Result<ServiceDocument, Failure> = SettingsReader.readText(Path.of(file))
    .flatMap(SettingsReader::decodeDocument)
    .flatMap { document ->
        val problem = DocumentCheck.firstProblem(document)
        if (problem == null) Ok(document) else Err(Failure(ResultCode.DOCUMENT_INVALID, problem))
    }
