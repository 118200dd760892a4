package cassiaspindle.command.operator

import cassiaspindle.command.CommandOutcomeHolder
import cassiaspindle.command.ProgramCommand
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ControlStatus
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.required

/** `status`: prints the state of the control replicas, their groups and the entry VMs. */
@OptIn(ExperimentalCli::class)
internal class StatusCommand(private val outcome: CommandOutcomeHolder) :
    ProgramCommand("status", "Show control replicas and entry VMs") {
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()

    override fun execute() {
        outcome.take(withOperator(settings, ::show))
    }

    private suspend fun show(session: OperatorSession): Result<Unit, Failure> {
        val answered = session.settings.controls.count { control ->
            session.client.status(control).fold(
                success = {
                    print(it)
                    true
                },
                failure = {
                    println("control=${control.name} code=${it.code.number} name=${it.code}")
                    false
                },
            )
        }
        return if (answered > 0) Ok(Unit) else Err(Failure(ResultCode.CONTROL_UNREACHABLE))
    }

    private fun print(status: ControlStatus) {
        status.groups.forEach { group ->
            val voters = group.membership.voters.joinToString(",") { it.name }
            val learners = group.membership.learners.joinToString(",") { it.name }
            println(
                "control=${status.name} group=${group.group} role=${group.role} term=${group.term} " +
                    "leader=${group.leader} commit=${group.commitIndex} last=${group.lastIndex} " +
                    "voters=$voters learners=$learners",
            )
        }
        status.entryStatuses.forEach { entry ->
            println(
                "control=${status.name} entry=${entry.name} address=${entry.address} zone=${entry.availabilityZone} " +
                    "document_sequence=${entry.documentSequence} draining=${entry.draining}",
            )
        }
    }
}
