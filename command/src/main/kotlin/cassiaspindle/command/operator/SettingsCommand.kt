package cassiaspindle.command.operator

import cassiaspindle.codec.SettingsReader
import cassiaspindle.command.ExitStatusHolder
import cassiaspindle.command.NestedCommand
import cassiaspindle.command.ProgramCommand
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ClientSettings
import cassiaspindle.schema.ControlSettings
import cassiaspindle.schema.EntrySettings
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onSuccess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import java.nio.file.Path

/** `settings`: checks settings files and service documents, and writes examples. */
@OptIn(ExperimentalCli::class)
internal class SettingsCommand(exitStatus: ExitStatusHolder) : ProgramCommand(
    "settings",
    "Check settings and service documents",
    listOf(SettingsCheckCommand(exitStatus), SettingsExampleCommand(exitStatus)),
)

/** `settings check`: validates a settings file or a service document. */
@OptIn(ExperimentalCli::class)
internal class SettingsCheckCommand(exitStatus: ExitStatusHolder) :
    NestedCommand("check", "Check a settings file or a service document", exitStatus) {
    private val file by argument(ArgType.String, description = "The file")

    override fun execute() {
        val kind = SettingsReader.readText(Path.of(file)).flatMap(::validate)
        kind.onSuccess { println("file=$file kind=$it result=ok") }
        exitStatus.record(kind)
    }

    /** Recognizes the kind of file by a member that only this kind requires. */
    private fun validate(text: String): Result<String, Failure> {
        val code = ResultCode.SETTINGS_INVALID
        return when {
            "\"listenAddress\"" in text -> SettingsReader.decodeValidated<EntrySettings>(text, code).map { "entry" }
            "\"dataFolder\"" in text -> SettingsReader.decodeValidated<ControlSettings>(text, code).map { "control" }
            "\"stages\"" in text -> readDocument(file).map { "document" }
            else -> SettingsReader.decodeValidated<ClientSettings>(text, code).map { "client" }
        }
    }
}
