package cassiaspindle.command.measure

import cassiaspindle.command.ExitStatusHolder
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
internal class MeasureCommand(private val exitStatus: ExitStatusHolder) :
    ProgramCommand("measure", "Measure the real code with small stand-ins") {
    private val selected by argument(ArgType.String, "measurement", description = "A measurement, or list")
    private val seed by option(ArgType.Int, "seed", description = "Seed").default(1)
    private val histories by option(ArgType.Int, "histories", description = "Number of random histories")
        .default(DEFAULT_HISTORIES)
    private val runners by option(ArgType.Int, "runners", description = "Size of one more fleet").default(0)
    private val baseline by option(ArgType.String, "baseline", description = "Class path of a build to compare with")
    private val launch by option(ArgType.String, "launch", description = "Further JVM options of a measured process")
        .default("")

    override fun execute() {
        val measurement = measurements.firstOrNull { it.name == selected }
        when {
            selected == "list" ->
                measurements.forEach { println("measure=${it.name} description=\"${it.description}\"") }
            measurement == null -> exitStatus.record(
                Err(Failure(ResultCode.SETTINGS_INVALID, "no measurement is named $selected"))
            )
            else -> run(measurement)
        }
    }

    private fun run(measurement: Measurement) {
        val launchOptions = launch.split(' ').filter(String::isNotEmpty)
        val options = MeasurementOptions(seed.toLong(), histories.toLong(), runners, baseline, launchOptions)
        val result = measurement.run(options, ::println)
        val figures = "value=%.3f unit=%s bound=%.3f".format(result.value, result.unit, result.bound)
        println("measure=${measurement.name} $figures holds=${result.holds}")
        val failure = Failure(ResultCode.LOCAL_RUN_FAILED, "${measurement.name} does not hold its bound")
        exitStatus.record(if (result.holds) Ok(Unit) else Err(failure))
    }
}
