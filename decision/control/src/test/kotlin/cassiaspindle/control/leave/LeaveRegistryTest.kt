package cassiaspindle.control.leave

import cassiaspindle.control.group.ControlStateMachine
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.RecordedLeave
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class LeaveRegistryTest : AnnotationSpec() {
    private val gone = RunnerNotice("r", "service", "r:1", "a", RunnerState.GONE, bornMilliseconds = 5, sequence = 9)

    /** Guards against review case 4: an acknowledged leave was forgotten when all processes of the core were killed. */
    @Test
    fun `a recorded leave outlives the process, in a snapshot and in the log`() {
        val command = ControlCommand(ControlCommandKind.RECORD_LEAVE, leave = RecordedLeave(gone, 100))
        val first = ControlStateMachine(retentionMilliseconds = 1)
        first.functions().apply(command).code shouldBe ResultCode.OK.number
        val restarted = ControlStateMachine(retentionMilliseconds = 1)
        restarted.functions().restore(first.functions().capture())
        restarted.leaves.notices() shouldBe listOf(gone)
    }

    @Test
    fun `the later start wins, then the backend server that has left`() {
        val draining = gone.copy(state = RunnerState.DRAINING, sequence = 20)
        val restarted = draining.copy(bornMilliseconds = 6, sequence = 1)
        recorded(gone to 1L, draining to 2L) shouldBe listOf(gone)
        recorded(draining to 1L, gone to 2L) shouldBe listOf(gone)
        recorded(gone to 1L, restarted to 2L) shouldBe listOf(restarted)
        recorded(restarted to 1L, gone to 2L) shouldBe listOf(restarted)
    }

    @Test
    fun `leaves are kept for minutes, and not without bound`() {
        recorded(gone to 0L, gone.copy(id = "later") to 60_000L).size shouldBe 2
        recorded(gone to 0L, gone.copy(id = "later") to 3_600_000L).map(RunnerNotice::id) shouldBe listOf("later")
        val many = (0 until 2_000).map { gone.copy(id = "runner-$it") to 1L }.toTypedArray()
        recorded(*many).size shouldBe 512
    }

    private fun recorded(vararg leaves: Pair<RunnerNotice, Long>): List<RunnerNotice> {
        val registry = LeaveRegistry().apply { restore(GroupState()) }
        leaves.forEach { (notice, time) -> registry.record(RecordedLeave(notice, time)) }
        return registry.notices()
    }
}
