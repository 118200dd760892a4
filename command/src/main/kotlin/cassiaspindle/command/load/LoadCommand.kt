package cassiaspindle.command.load

import cassiaspindle.codec.SettingsReader
import cassiaspindle.command.ExitStatusHolder
import cassiaspindle.command.ProgramCommand
import cassiaspindle.command.local.Example
import cassiaspindle.command.local.LoadOptions
import cassiaspindle.command.local.LoadRun
import cassiaspindle.command.local.LoadTarget
import cassiaspindle.command.local.StandInFleet
import cassiaspindle.command.local.applyDocuments
import cassiaspindle.command.operator.OperatorSession
import cassiaspindle.command.operator.withOperatorSession
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.delay
import java.nio.file.Path

private const val DEFAULT_SECONDS = 10
private const val DEFAULT_CALLERS = 8
private const val ANNOUNCEMENT_WAIT_MILLISECONDS = 3_000L

/** `load`: runs the stand-ins and callers of an example against running daemons. */
@OptIn(ExperimentalCli::class)
internal class LoadCommand(private val exitStatus: ExitStatusHolder) :
    ProgramCommand("load", "Run stand-ins and callers of an example against running daemons") {
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()
    private val entries by option(ArgType.String, "entries", description = "Addresses of entry VMs, with commas")
        .required()
    private val backEndKeyFile by option(ArgType.String, "backend-key-file", description = "Key of backend servers")
        .required()
    private val example by option(ArgType.Choice(listOf("hooghly", "office"), { it }), "example", description = "Which")
        .required()
    private val seed by option(ArgType.Int, "seed", description = "Seed of the load").default(1)
    private val seconds by option(ArgType.Int, "seconds", description = "Length of the load").default(DEFAULT_SECONDS)
    private val callers by option(ArgType.Int, "callers", description = "Callers at the same time")
        .default(DEFAULT_CALLERS)

    override fun execute() {
        val result = SettingsReader.readKey(Path.of(backEndKeyFile)).flatMap { key ->
            withOperatorSession(settings) { session -> run(session, key) }
        }
        exitStatus.record(result)
    }

    private suspend fun run(session: OperatorSession, backEndKey: String): Result<Unit, Failure> {
        val selected = checkNotNull(Example.named(example))
        val addresses = entries.split(",")
        val fleet = StandInFleet(selected, session.httpClient, backEndKey, addresses)
        fleet.start()
        val applied = applyDocuments(selected, session.operatorClient)
        delay(ANNOUNCEMENT_WAIT_MILLISECONDS)
        val result = applied.flatMap { load(session, fleet, LoadOptions(selected, seed, seconds, callers), addresses) }
        fleet.close()
        return result
    }

    private suspend fun load(
        session: OperatorSession,
        fleet: StandInFleet,
        options: LoadOptions,
        addresses: List<String>,
    ): Result<Unit, Failure> {
        val report = LoadRun(options, LoadTarget(addresses, fleet.recorder), session.httpClient, ::println).run()
        report.layerViolations.forEach { println("violation=layer $it") }
        println(report.toString())
        println(if (report.guaranteesHold) "result=ok" else "result=failed")
        return if (report.guaranteesHold) Ok(Unit) else Err(Failure(ResultCode.LOCAL_RUN_FAILED))
    }
}
