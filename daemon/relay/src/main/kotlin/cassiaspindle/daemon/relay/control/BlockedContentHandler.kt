package cassiaspindle.daemon.relay.control

import cassiaspindle.codec.encodeJson
import cassiaspindle.core.identity.Digest
import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.fleet.CommandClient
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.ContentDecisions
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.transport.relay.RelayCall
import cassiaspindle.transport.relay.firstValue

/** Path of the list of blocked contents; one content is the segment after it. */
internal const val BLOCKED_CONTENTS_PATH = "/blocked-contents"

/** Header with the key of the system's processes, which a change needs. */
private const val KEY_HEADER = "System-Key"

/** Time limit for a change, in milliseconds. */
private const val COMMAND_TIMEOUT_MILLISECONDS = 900L

/** Lets operators list the blocked contents with their evidence, block one by hand, and release one. */
internal class BlockedContentHandler(
    private val systemKey: String,
    private val commandClient: CommandClient,
    /** What the local control replica has applied, or null if there is none or it may be stale. */
    private val decisions: () -> ContentDecisions?,
    private val log: EventLog,
) {
    /** Handles one request. */
    suspend fun handle(call: RelayCall) {
        val content = call.head.target.substringBefore('?').removePrefix(BLOCKED_CONTENTS_PATH).trim('/')
        when {
            call.head.method == "GET" && content.isEmpty() -> list(call)
            content.isEmpty() -> call.respondEmpty(ResultCode.UNKNOWN_PATH)
            !hasKey(call) -> call.respondEmpty(ResultCode.UNAUTHENTICATED)
            call.head.method == "PUT" -> change(call, ControlCommandKind.BLOCK_CONTENT, content)
            call.head.method == "DELETE" -> change(call, ControlCommandKind.UNBLOCK_CONTENT, content)
            else -> call.respondEmpty(ResultCode.UNKNOWN_PATH)
        }
    }

    /** Only a VM with a control replica knows the evidence. */
    private suspend fun list(call: RelayCall) {
        val known = decisions()
        if (known == null) {
            call.respondEmpty(ResultCode.CONTROL_UNREACHABLE)
        } else {
            call.respondJson(encodeJson(known))
        }
    }

    private fun hasKey(call: RelayCall): Boolean =
        call.head.headers.firstValue(KEY_HEADER)?.let { Digest.constantTimeEquals(it, systemKey) } ?: false

    private suspend fun change(call: RelayCall, kind: ControlCommandKind, content: String) {
        val command = ControlCommand(kind, blockedContent = BlockedContent(content, byOperator = true))
        val code = commandClient.submit(command, COMMAND_TIMEOUT_MILLISECONDS).outcome?.code
        log.write("content_changed_by_operator", "kind" to kind, "content" to content, "code" to code)
        call.respondEmpty(ResultCode.ofNumber(code ?: -1) ?: ResultCode.CONTROL_UNREACHABLE)
    }
}
