package cassiaspindle.daemon.relay.protocol

import cassiaspindle.core.result.Failure
import cassiaspindle.schema.RunnerNotice
import com.github.michaelbull.result.Result

/** A call of an operator or a backend server, decoded. */
sealed interface ControlRequest {
    /** Put the configuration in the body in force. */
    data object PutConfiguration : ControlRequest

    /** Read the newest configuration. */
    data object ReadConfiguration : ControlRequest

    /** A backend server announces itself; a failure names none. */
    data class Announce(val notice: Result<RunnerNotice, Failure>) : ControlRequest

    /** The backend server called [id] has left. */
    data class Leave(val id: String) : ControlRequest

    /** Nothing that is known. */
    data object Unknown : ControlRequest
}
