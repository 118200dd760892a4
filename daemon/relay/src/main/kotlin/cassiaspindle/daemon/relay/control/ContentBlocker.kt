package cassiaspindle.daemon.relay.control

import cassiaspindle.daemon.control.CommandCallback
import cassiaspindle.daemon.relay.fleet.SuspicionPublisher
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.schema.ControlCommand

/** Proposes a command to the local replica, and passes its outcome on. */
typealias CommandProposer = (ControlCommand, CommandCallback) -> Unit

/** Proposes, at the leader, to block contents that crash runners, and to release those that need not be blocked. */
internal class ContentBlocker(private val suspicions: SuspicionPublisher, private val log: EventLog) {
    /** Passes the commands that are due to [proposer]; one that fails is due again at the next call. */
    fun propose(proposer: CommandProposer) = suspicions.dueCommands().forEach { command ->
        proposer(command) { outcome, _ ->
            log.write(
                "content_command",
                "kind" to command.kind,
                "content" to (command.blockedContent?.content ?: command.trial?.content),
                "runners" to command.blockedContent?.runners,
                "entries" to command.blockedContent?.reporters,
                "code" to outcome.code,
            )
        }
    }
}
