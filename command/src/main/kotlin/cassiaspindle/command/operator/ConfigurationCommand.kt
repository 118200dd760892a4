package cassiaspindle.command.operator

import cassiaspindle.codec.SettingsReader
import cassiaspindle.codec.decodeJson
import cassiaspindle.codec.encodePrettyJson
import cassiaspindle.command.ExitStatusHolder
import cassiaspindle.command.NestedCommand
import cassiaspindle.command.ProgramCommand
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.configuration.checkConfiguration
import cassiaspindle.schema.ConfigurationReport
import cassiaspindle.schema.FindingSeverity
import cassiaspindle.schema.RelayConfiguration
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onSuccess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.serialization.serializer
import java.nio.file.Path

/** `configuration`: checks configurations of the relay before they are sent. */
@OptIn(ExperimentalCli::class)
internal class ConfigurationCommand(exitStatus: ExitStatusHolder) : ProgramCommand(
    "configuration",
    "Check configurations of the relay",
    listOf(ConfigurationCheckCommand(exitStatus)),
)

/** `configuration check`: prints numbered findings about a configuration; the exit status shows errors. */
@OptIn(ExperimentalCli::class)
internal class ConfigurationCheckCommand(exitStatus: ExitStatusHolder) :
    NestedCommand("check", "Check a configuration, and what it changes", exitStatus) {
    private val file by argument(ArgType.String, description = "The configuration")
    private val inForce by option(ArgType.String, "in-force", description = "The configuration in force")
    private val isJson by option(ArgType.Boolean, "json", description = "Print JSON").default(false)

    override fun execute() {
        val previous = inForce?.let { path -> readConfiguration(path) } ?: Ok(null)
        val report = previous.flatMap { before -> readConfiguration(file).map { reportOf(it, before) } }
        report.onSuccess { println(if (isJson) encodePrettyJson(serializer(), it) else describe(it)) }
        exitStatus.record(report.flatMap(::checkErrors))
    }

    private fun reportOf(configuration: RelayConfiguration, before: RelayConfiguration?): ConfigurationReport {
        val findings = checkConfiguration(configuration, before)
        val count = { severity: FindingSeverity -> findings.count { it.severity == severity } }
        return ConfigurationReport(
            file,
            configuration.version,
            errors = count(FindingSeverity.ERROR),
            warnings = count(FindingSeverity.WARNING),
            notes = count(FindingSeverity.NOTE),
            findings,
        )
    }

    private fun describe(report: ConfigurationReport): String {
        val lines = report.findings.map {
            "finding=${it.number} name=${it.name} severity=${it.severity} subject=\"${it.subject}\" " +
                "detail=\"${it.detail}\""
        }
        val summary = "file=${report.file} version=${report.version} errors=${report.errors} " +
            "warnings=${report.warnings} notes=${report.notes}"
        return (lines + summary).joinToString("\n")
    }

    private fun checkErrors(report: ConfigurationReport): Result<Unit, Failure> =
        if (report.errors == 0) {
            Ok(Unit)
        } else {
            Err(Failure(ResultCode.CONFIGURATION_INVALID, "$file: ${report.errors} errors"))
        }
}

/** Reads the configuration at [path]; a file that can't be read or decoded gives the usage status. */
private fun readConfiguration(path: String): Result<RelayConfiguration, Failure> =
    SettingsReader.readText(Path.of(path)).flatMap { text ->
        decodeJson<RelayConfiguration>(text).mapError {
            it.copy(code = ResultCode.SETTINGS_INVALID, detail = "$path: ${it.detail}")
        }
    }
