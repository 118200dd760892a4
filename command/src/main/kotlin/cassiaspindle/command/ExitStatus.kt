package cassiaspindle.command

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlin.system.exitProcess

/** Exit statuses of the command line. */
internal object ExitStatus {
    const val DONE = 0
    const val FAILED = 1
    const val USAGE = 2

    private val usageCodes = setOf(
        ResultCode.SETTINGS_MISSING,
        ResultCode.SETTINGS_INVALID,
        ResultCode.DOCUMENT_INVALID,
    )

    fun of(failure: Failure): Int = if (failure.code in usageCodes) USAGE else FAILED
}

/** Holds the exit status of the command. */
internal class ExitStatusHolder {
    var value = ExitStatus.DONE
        private set

    /** If [result] is a failure, prints it to stderr as one line with its result code and sets the exit status. */
    fun <Value> record(result: Result<Value, Failure>) {
        result.onFailure { failure ->
            System.err.println("error code=${failure.code.number} name=${failure.code} detail=\"${failure.detail}\"")
            value = ExitStatus.of(failure)
        }
    }
}

/** A top-level command with its [nested] subcommands. */
@OptIn(ExperimentalCli::class)
internal abstract class ProgramCommand(
    name: String,
    description: String,
    val nested: List<Subcommand> = emptyList(),
) : Subcommand(name, description) {
    init {
        nested.forEach { subcommands(it) }
    }

    override fun execute() = Unit
}

/** A subcommand of a [ProgramCommand]. */
@OptIn(ExperimentalCli::class)
internal abstract class NestedCommand(
    name: String,
    description: String,
    protected val exitStatus: ExitStatusHolder,
) : Subcommand(name, description)

/**
 * Makes usage errors of [parser] exit the process with [status].
 *
 * kotlinx-cli exits with 127, and the hook that changes this is internal to the library, hence the reflection.
 */
internal fun setUsageErrorStatus(parser: ArgParser, status: Int) {
    val hook = ArgParser::class.java.methods.first { it.name.startsWith("setOutputAndTerminate") }
    val exit = { message: String, code: Int ->
        if (code == 0) {
            println(message)
            exitProcess(ExitStatus.DONE)
        } else {
            System.err.println(message)
            exitProcess(status)
        }
    }
    hook.invoke(parser, exit)
}
