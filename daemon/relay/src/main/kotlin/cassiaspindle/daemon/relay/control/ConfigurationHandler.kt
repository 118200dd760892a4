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
        val inForce = fleetState.configuration.version
        if (configuration.version <= inForce) {
            log.write("configuration_put", "version" to configuration.version, "in_force" to inForce)
            call.respondEmpty(ResultCode.OK)
            return
        }
        val stored = StoredConfiguration(configuration.version, compressText(text))
        val command = ControlCommand(ControlCommandKind.APPLY_CONFIGURATION, configuration = stored)
        val result = commandClient.submit(command, COMMAND_TIMEOUT_MILLISECONDS)
        val isStored = result.outcome?.code == ResultCode.OK.number
        logResult("configuration_put", stored.version, result)
        if (isStored) fleetState.applyConfiguration(stored)
        call.respondEmpty(if (isStored) ResultCode.OK else ResultCode.CONTROL_UNREACHABLE)
    }

    private fun logResult(event: String, version: Long?, result: SubmissionResult) = log.write(
        event,
        "version" to version,
        "code" to result.outcome?.code,
        "tries" to result.attempts,
        "asked" to result.lastReplica,
        "undecided_code" to result.undecidedCode,
        "took_ms" to result.elapsedMilliseconds,
    )
}
