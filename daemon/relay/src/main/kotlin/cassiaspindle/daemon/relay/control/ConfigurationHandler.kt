package cassiaspindle.daemon.relay.control

import cassiaspindle.codec.compressText
import cassiaspindle.codec.decompressText
import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.fleet.CommandClient
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.MAXIMUM_CONFIGURATION_BYTES
import cassiaspindle.daemon.relay.fleet.SubmissionResult
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.OperatorProtocol
import cassiaspindle.relay.configuration.validateConfiguration
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.StoredConfiguration
import cassiaspindle.transport.relay.RelayCall
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Time limit for storing or reading a configuration, in milliseconds; operators wait one second. */
private const val DECISION_MILLISECONDS = 900L

/** Handles operators' requests to store and to read the configuration. */
internal class ConfigurationHandler(
    private val protocol: OperatorProtocol,
    private val commands: CommandClient,
    private val state: FleetState,
    private val log: EventLog,
) {
    /** Stores the configuration in [body] if it is valid. */
    suspend fun put(call: RelayCall, body: ByteArray) {
        val text = body.decodeToString()
        protocol.readConfiguration(text).flatMap(::validateConfiguration)
            .onSuccess { store(call, it, text) }
            .onFailure { failure ->
                log.write("configuration_refused", "code" to failure.code.number, "detail" to failure.detail)
                call.answerEmpty(ResultCode.CONFIGURATION_INVALID)
            }
    }

    /** Answers with the newest configuration. */
    suspend fun read(call: RelayCall) {
        val submission = commands.submit(ControlCommand(ControlCommandKind.READ_CONFIGURATION), DECISION_MILLISECONDS)
        val newest = submission.outcome?.configuration
        val content = newest?.let { decompressText(it.content, MAXIMUM_CONFIGURATION_BYTES).get() }
        tell("configuration_read", newest?.version, submission)
        if (content == null) call.answerEmpty(ResultCode.CONTROL_UNREACHABLE) else call.answerJson(content)
    }

    /** A version that is not newer than the one in force, which is stored already, needs no command. */
    private suspend fun store(call: RelayCall, configuration: RelayConfiguration, text: String) {
        val inForce = state.configuration.version
        if (configuration.version <= inForce) {
            log.write("configuration_put", "version" to configuration.version, "in_force" to inForce)
            call.answerEmpty(ResultCode.OK)
            return
        }
        val stored = StoredConfiguration(configuration.version, compressText(text))
        val command = ControlCommand(ControlCommandKind.APPLY_CONFIGURATION, configuration = stored)
        val submission = commands.submit(command, DECISION_MILLISECONDS)
        val isStored = submission.outcome?.code == ResultCode.OK.number
        tell("configuration_put", stored.version, submission)
        if (isStored) state.applyConfiguration(stored)
        call.answerEmpty(if (isStored) ResultCode.OK else ResultCode.CONTROL_UNREACHABLE)
    }

    private fun tell(event: String, version: Long?, submission: SubmissionResult) = log.write(
        event,
        "version" to version,
        "code" to submission.outcome?.code,
        "tries" to submission.attempts,
        "asked" to submission.lastReplica,
        "undecided_code" to submission.undecidedCode,
        "took_ms" to submission.elapsedMilliseconds,
    )
}
