package cassiaspindle.command

import cassiaspindle.command.daemon.ControlCommand
import cassiaspindle.command.daemon.EntryCommand
import cassiaspindle.command.load.LoadCommand
import cassiaspindle.command.local.LocalCommand
import cassiaspindle.command.measure.MeasureCommand
import cassiaspindle.command.operator.DocumentCommand
import cassiaspindle.command.operator.DrainCommand
import cassiaspindle.command.operator.OrdersCommand
import cassiaspindle.command.operator.SettingsCommand
import cassiaspindle.command.operator.StatusCommand
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

private const val VERSION = "0.1.0"

/** Runs the command line and exits with its status. */
fun main(arguments: Array<String>) {
    if ("--version" in arguments) {
        println("cassiaspindle $VERSION")
        exitProcess(ExitStatus.DONE)
    }
    exitProcess(runCommandLine(arguments))
}

/** Parses [arguments], runs the command and returns its exit status. */
@OptIn(ExperimentalCli::class)
internal fun runCommandLine(arguments: Array<String>): Int {
    val outcome = CommandOutcomeHolder()
    val parser = ArgParser("cassiaspindle")
    val commands = listOf(
        EntryCommand(outcome),
        ControlCommand(outcome),
        LocalCommand(outcome),
        SettingsCommand(outcome),
        DocumentCommand(outcome),
        StatusCommand(outcome),
        OrdersCommand(outcome),
        DrainCommand(outcome),
        MeasureCommand(outcome),
        LoadCommand(outcome),
    )
    commands.forEach { parser.subcommands(it) }
    endUsageErrorsWith(parser, ExitStatus.USAGE)
    commands.forEach { endUsageErrorsWith(it, ExitStatus.USAGE) }
    commands.flatMap { it.nested }.forEach { endUsageErrorsWith(it, ExitStatus.USAGE) }
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
    return outcome.status
}
