package cassiaspindle.command.operator

import cassiaspindle.command.ExitStatusHolder
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
internal class StatusCommand(private val exitStatus: ExitStatusHolder) :
    ProgramCommand("status", "Show control replicas and entry VMs") {
    private val settings by option(ArgType.String, "settings", description = "Client settings file").required()

    override fun execute() {
        exitStatus.record(withOperatorSession(settings, ::printStatuses))
    }

    private suspend fun printStatuses(session: OperatorSession): Result<Unit, Failure> {
        val reachableCount = session.settings.controls.count { control ->
            session.operatorClient.status(control).fold(
                success = {
                    printStatus(it)
                    true
                },
                failure = {
                    println("control=${control.name} code=${it.code.number} name=${it.code}")
                    false
                },
            )
        }
        return if (reachableCount > 0) Ok(Unit) else Err(Failure(ResultCode.CONTROL_UNREACHABLE))
    }

    private fun printStatus(status: ControlStatus) {
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
