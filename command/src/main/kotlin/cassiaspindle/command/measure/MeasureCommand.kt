package cassiaspindle.command.measure

import cassiaspindle.command.CommandOutcomeHolder
import cassiaspindle.command.ProgramCommand
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default

private const val DEFAULT_HISTORIES = 2_000

/** `measure`: runs one measurement of the production code, or lists all. */
@OptIn(ExperimentalCli::class)
internal class MeasureCommand(private val outcome: CommandOutcomeHolder) :
    ProgramCommand("measure", "Measure the real code with small stand-ins") {
    private val chosen by argument(ArgType.String, "measurement", description = "A measurement, or list")
    private val seed by option(ArgType.Int, "seed", description = "Seed").default(1)
    private val histories by option(ArgType.Int, "histories", description = "Number of random histories")
        .default(DEFAULT_HISTORIES)
    private val runners by option(ArgType.Int, "runners", description = "Size of one more fleet").default(0)

    override fun execute() {
        val measure = measures.firstOrNull { it.name == chosen }
        when {
            chosen == "list" -> measures.forEach { println("measure=${it.name} description=\"${it.description}\"") }
            measure == null -> outcome.take(
                Err(Failure(ResultCode.SETTINGS_INVALID, "no measurement is named $chosen"))
            )
            else -> run(measure)
        }
    }

    private fun run(measure: Measure) {
        val result = measure.run(MeasureOptions(seed.toLong(), histories.toLong(), runners), ::println)
        val figures = "value=%.3f unit=%s bound=%.3f".format(result.value, result.unit, result.bound)
        println("measure=${measure.name} $figures holds=${result.holds}")
        val failure = Failure(ResultCode.LOCAL_RUN_FAILED, "${measure.name} does not hold its bound")
        outcome.take(if (result.holds) Ok(Unit) else Err(failure))
    }
}
