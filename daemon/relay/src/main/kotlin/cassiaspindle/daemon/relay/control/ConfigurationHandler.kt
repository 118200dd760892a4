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
import cassiaspindle.relay.configuration.contentDigestOf
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
private const val COMMAND_TIMEOUT_MILLISECONDS = 900L

/** Handles operators' requests to store and to read the configuration. */
internal class ConfigurationHandler(
    private val protocol: OperatorProtocol,
    private val commandClient: CommandClient,
    private val fleetState: FleetState,
    private val log: EventLog,
) {
    /** Stores the configuration in [body] if it is valid. */
    suspend fun handlePut(call: RelayCall, body: ByteArray) {
        val text = body.decodeToString()
        protocol.readConfiguration(text).flatMap(::validateConfiguration)
            .onSuccess { store(call, it, text) }
            .onFailure { failure ->
                log.write("configuration_refused", "code" to failure.code.number, "detail" to failure.detail)
                call.respondEmpty(ResultCode.CONFIGURATION_INVALID)
            }
    }

    /** Responds with the newest configuration. */
    suspend fun handleRead(call: RelayCall) {
        val result = commandClient.submit(
            ControlCommand(ControlCommandKind.READ_CONFIGURATION),
            COMMAND_TIMEOUT_MILLISECONDS,
        )
        val newest = result.outcome?.configuration
        val content = newest?.let { decompressText(it.content, MAXIMUM_CONFIGURATION_BYTES).get() }
        logResult("configuration_read", newest?.version, result)
        if (content == null) call.respondEmpty(ResultCode.CONTROL_UNREACHABLE) else call.respondJson(content)
    }

    /** A version that is not newer than the one in force, which is stored already, needs no command. */
    private suspend fun store(call: RelayCall, configuration: RelayConfiguration, text: String) {
        val sent = StoredConfiguration(configuration.version, compressText(text))
        val inForce = fleetState.configuration.version
        if (configuration.version <= inForce) {
            val isOther = sent.version == inForce && contentDigestOf(sent) != fleetState.configuration.contentDigest
            log.write(
                "configuration_put",
                "version" to sent.version,
                "in_force" to inForce,
                "other_content_stored" to isOther,
            )
            call.respondEmpty(ResultCode.OK)
        } else {
            submit(call, sent)
        }
    }

    /** An acknowledged version is in force with the content that is stored, which need not be the one [sent]. */
    private suspend fun submit(call: RelayCall, sent: StoredConfiguration) {
        val command = ControlCommand(ControlCommandKind.APPLY_CONFIGURATION, configuration = sent)
        val result = commandClient.submit(command, COMMAND_TIMEOUT_MILLISECONDS)
        val outcome = result.outcome?.takeIf { it.code == ResultCode.OK.number }
        logResult("configuration_put", sent.version, result)
        if (outcome == null) {
            call.respondEmpty(ResultCode.CONTROL_UNREACHABLE)
            return
        }
        fleetState.applyConfiguration(outcome.configuration ?: sent)
        call.respondEmpty(ResultCode.OK)
    }

    private fun logResult(event: String, version: Long?, result: SubmissionResult) = log.write(
        event,
        "version" to version,
        "code" to result.outcome?.code,
        "stored" to result.outcome?.configuration?.version,
        "tries" to result.attempts,
        "asked" to result.lastReplica,
        "undecided_code" to result.undecidedCode,
        "took_ms" to result.elapsedMilliseconds,
    )
}
