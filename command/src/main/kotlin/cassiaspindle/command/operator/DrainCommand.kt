package cassiaspindle.command.operator

import cassiaspindle.command.ExitStatusHolder
import cassiaspindle.command.ProgramCommand
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.transport.http.client.bearer
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.request.post
import io.ktor.http.isSuccess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.required
import kotlinx.io.IOException

/** `drain`: makes an entry VM leave discovery and finish its requests in flight. */
@OptIn(ExperimentalCli::class)
internal class DrainCommand(private val exitStatus: ExitStatusHolder) :
    ProgramCommand("drain", "Drain an entry VM") {
    private val address by argument(ArgType.String, description = "Host and port of the entry VM")
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()

    override fun execute() {
        exitStatus.record(withOperatorSession(settings, ::drain))
    }

    private suspend fun drain(session: OperatorSession): Result<Unit, Failure> = try {
        val response = session.httpClient.post("http://$address/v1/drain") { bearer(session.key) }
        if (response.status.isSuccess()) Ok(Unit) else Err(Failure(ResultCode.UNAUTHENTICATED))
    } catch (problem: IOException) {
        Err(Failure(ResultCode.ENTRY_CUT_OFF, "$address: ${problem.javaClass.simpleName}"))
    }
}
