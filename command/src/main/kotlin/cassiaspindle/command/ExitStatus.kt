package cassiaspindle.command

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlin.system.exitProcess

/** Exit statuses of the program. */
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

/** Takes the exit status of the command that ran. */
internal class CommandOutcomeHolder {
    var status = ExitStatus.DONE
        private set

    /** Prints the failure of [result], if it is one, as one line with its numbered code. */
    fun <Value> take(result: Result<Value, Failure>) {
        result.onFailure { failure ->
            System.err.println("error code=${failure.code.number} name=${failure.code} detail=\"${failure.detail}\"")
            status = ExitStatus.of(failure)
        }
    }
}

/** A command of the program; [nested] are the commands below it. */
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

/** A command below another, whose work is a function. */
@OptIn(ExperimentalCli::class)
internal abstract class NestedCommand(
    name: String,
    description: String,
    protected val outcome: CommandOutcomeHolder,
) : Subcommand(name, description)

/**
 * Makes a usage error of [parser] end the program with [status].
 *
 * The library ends with 127 and keeps the hook for another status internal, hence the call by name.
 */
internal fun endUsageErrorsWith(parser: ArgParser, status: Int) {
    val hook = ArgParser::class.java.methods.first { it.name.startsWith("setOutputAndTerminate") }
    val terminate = { message: String, code: Int ->
        if (code == 0) {
            println(message)
            exitProcess(ExitStatus.DONE)
        } else {
            System.err.println(message)
            exitProcess(status)
        }
    }
    hook.invoke(parser, terminate)
}
