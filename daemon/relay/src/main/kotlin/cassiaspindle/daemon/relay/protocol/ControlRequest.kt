package cassiaspindle.daemon.relay.protocol

import cassiaspindle.core.result.Failure
import cassiaspindle.schema.RunnerNotice
import com.github.michaelbull.result.Result

/** A decoded request on the control address, from an operator or a backend server. */
sealed interface ControlRequest {
    /** Stores the configuration in the body. */
    data object PutConfiguration : ControlRequest

    /** Reads the newest configuration. */
    data object ReadConfiguration : ControlRequest

    /** The announcement of a backend server, or the failure to decode it. */
    data class Announce(val notice: Result<RunnerNotice, Failure>) : ControlRequest

    /** The backend server [id] leaves. */
    data class Leave(val id: String) : ControlRequest

    /** An unknown request. */
    data object Unknown : ControlRequest
}
