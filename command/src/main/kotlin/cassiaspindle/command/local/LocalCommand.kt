package cassiaspindle.command.local

import cassiaspindle.command.ExitStatusHolder
import cassiaspindle.command.ProgramCommand
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required

private const val DEFAULT_SECONDS = 5
private const val CALLER_COUNT = 6

/** `local`: runs an example deployment with stand-ins in one process. */
@OptIn(ExperimentalCli::class)
internal class LocalCommand(private val exitStatus: ExitStatusHolder) :
    ProgramCommand("local", "Run an example deployment in one process") {
    private val example by option(ArgType.Choice(listOf("hooghly", "office"), { it }), "example", description = "Which")
        .required()
    private val seed by option(ArgType.Int, "seed", description = "Seed of the run").default(1)
    private val seconds by option(ArgType.Int, "seconds", description = "Length of the run").default(DEFAULT_SECONDS)

    override fun execute() {
        val selected = checkNotNull(Example.named(example))
        exitStatus.record(LocalRun(LoadOptions(selected, seed, seconds, CALLER_COUNT), ::println).run())
    }
}
