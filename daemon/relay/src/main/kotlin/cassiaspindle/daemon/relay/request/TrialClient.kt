package cassiaspindle.daemon.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.fleet.CommandClient
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.schema.ContentTrial
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind

/** Time limit for the lease to try a suspected content, in milliseconds. */
private const val TRIAL_TIMEOUT_MILLISECONDS = 400L

/** Acquires leases of [entry] to try suspected contents. */
internal class TrialClient(
    private val entry: String,
    private val commandClient: CommandClient,
    private val log: EventLog,
) {
    /** Acquires the lease to try [content] with one request; returns whether it was granted. */
    suspend fun acquire(content: String): Boolean {
        val command = ControlCommand(ControlCommandKind.START_TRIAL, trial = ContentTrial(content, entry))
        val code = commandClient.submit(command, TRIAL_TIMEOUT_MILLISECONDS).outcome?.code
        log.write("content_trial", "content" to content, "code" to code)
        return code == ResultCode.OK.number
    }
}
