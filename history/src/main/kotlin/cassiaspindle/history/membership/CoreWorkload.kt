package cassiaspindle.history.membership

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.control.group.ControlReads
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.RecordedLeave
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import cassiaspindle.schema.StoredConfiguration

/** Tickets of leaves are negative, those of configurations are their versions. */
private const val LEAVE_TICKET_SIGN = -1L

/** Submits configurations and leaves of backend servers to a core, and checks that what it acknowledged stays. */
internal class CoreWorkload(private val core: SimulatedCore, private val faults: MembershipFaults) {
    private var submitted = 0L
    private val acknowledgedLeaves = mutableSetOf<Long>()

    /** Newest acknowledged version. */
    var acknowledgedVersion = 0L
        private set

    /** Submits the next version and the leave of another backend server. */
    fun submitNext(nowMilliseconds: Long) {
        submitted++
        val configuration = StoredConfiguration(submitted, "content-$submitted")
        val change = ControlCommand(ControlCommandKind.APPLY_CONFIGURATION, configuration = configuration)
        core.submit(change, submitted, nowMilliseconds).forEach(::handleAnswer)
        if (faults.recordsLeaves()) {
            val leave = ControlCommand(ControlCommandKind.RECORD_LEAVE, leave = RecordedLeave(noticeOf(submitted), 0))
            core.submit(leave, LEAVE_TICKET_SIGN * submitted, nowMilliseconds).forEach(::handleAnswer)
        } else {
            acknowledgedLeaves += submitted
        }
    }

    /** Records the [answer] to a command. */
    fun handleAnswer(answer: ControlEffect.Answer) {
        if (answer.outcome.code != ResultCode.OK.number) return
        if (answer.ticket < 0) acknowledgedLeaves += LEAVE_TICKET_SIGN * answer.ticket
        acknowledgedVersion = maxOf(acknowledgedVersion, answer.ticket)
    }

    /** What is wrong with the state in [reads] after [recoverySubmissions] submissions without disruptions. */
    fun violations(reads: ControlReads, recoverySubmissions: Long): List<String> {
        val version = reads.currentConfiguration()?.version ?: 0
        val lostLeaves = acknowledgedLeaves.map { noticeOf(it).id } - reads.leaves().map(RunnerNotice::id).toSet()
        return listOfNotNull(
            "version $version is read back after $acknowledgedVersion".takeIf { version < acknowledgedVersion },
            "changes are accepted no more".takeIf { acknowledgedVersion < submitted - recoverySubmissions / 2 },
            "acknowledged leaves are lost: ${lostLeaves.size}".takeIf { lostLeaves.isNotEmpty() },
        )
    }

    private fun noticeOf(number: Long) = RunnerNotice(
        id = "runner-$number",
        service = "service",
        address = "runner:$number",
        availabilityZone = "zone",
        state = RunnerState.GONE,
        bornMilliseconds = number,
        sequence = 1,
    )
}
