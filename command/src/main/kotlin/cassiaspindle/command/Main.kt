package cassiaspindle.command

import cassiaspindle.command.daemon.ControlCommand
import cassiaspindle.command.daemon.EntryCommand
import cassiaspindle.command.load.LoadCommand
import cassiaspindle.command.local.LocalCommand
import cassiaspindle.command.measure.MeasureCommand
import cassiaspindle.command.operator.ConfigurationCommand
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
    val exitStatus = ExitStatusHolder()
    val parser = ArgParser("cassiaspindle")
    val commands = listOf(
        EntryCommand(exitStatus),
        ControlCommand(exitStatus),
        LocalCommand(exitStatus),
        SettingsCommand(exitStatus),
        DocumentCommand(exitStatus),
        ConfigurationCommand(exitStatus),
        StatusCommand(exitStatus),
        OrdersCommand(exitStatus),
        DrainCommand(exitStatus),
        MeasureCommand(exitStatus),
        LoadCommand(exitStatus),
    )
    commands.forEach { parser.subcommands(it) }
    setUsageErrorStatus(parser, ExitStatus.USAGE)
    commands.forEach { setUsageErrorStatus(it, ExitStatus.USAGE) }
    commands.flatMap { it.nested }.forEach { setUsageErrorStatus(it, ExitStatus.USAGE) }
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
    return exitStatus.value
}
