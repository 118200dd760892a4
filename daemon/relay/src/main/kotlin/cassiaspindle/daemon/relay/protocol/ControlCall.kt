package cassiaspindle.daemon.relay.protocol

import cassiaspindle.core.result.Failure
import cassiaspindle.schema.RunnerNotice
import com.github.michaelbull.result.Result

/** A call of an operator or a backend server, decoded. */
sealed interface ControlCall {
    /** Put the configuration in the body in force. */
    data object PutConfiguration : ControlCall

    /** Read the newest configuration. */
    data object ReadConfiguration : ControlCall

    /** A backend server announces itself; a failure names none. */
    data class Announce(val notice: Result<RunnerNotice, Failure>) : ControlCall

    /** The backend server called [id] has left. */
    data class Leave(val id: String) : ControlCall

    /** Nothing that is known. */
    data object Unknown : ControlCall
}
