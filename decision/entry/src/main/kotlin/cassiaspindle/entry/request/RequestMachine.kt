package cassiaspindle.entry.request

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.Execution
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.StepResult

/**
 * The life of one request, used under its shard lock.
 *
 * It tells the caller once. An order lives on until the ledger holds its outcome, also when the caller has gone.
 */
internal class RequestMachine(private val plan: RequestPlan, private val identity: EntryIdentity, policies: Policies) {
    private val steps = mutableListOf<RequestStep>()
    private val orders = OrderCommands(plan, identity)
    private val pipeline = PipelineRun(plan, identity, policies, steps)
    private val alarm = RequestAlarm(plan.start, steps)
    private var phase = if (plan.start.orderKey == null) Phase.RUNNING else Phase.AWAITING_INTENT
    private var callerTold = false

    val account: String get() = plan.account
    val service: String get() = plan.document.service
    val isFinished: Boolean get() = phase == Phase.FINISHED

    /** The steps since the last call. */
    fun drain(): List<RequestStep> = steps.toList().also { steps.clear() }

    fun uses(backEnd: String): Boolean = pipeline.uses(backEnd)

    fun begin(nowMilliseconds: Long) {
        alarm.arm(plan.start.deadlineMilliseconds)
        if (phase == Phase.RUNNING) {
            steps += RequestStep.Place
        } else {
            emit(EntryEffect.Submit(plan.start.requestId, orders.intent()))
        }
        pipeline.progressed(nowMilliseconds)
    }

    /** Puts the stage that is due on backend servers. */
    fun place(candidates: List<BackEndView>, nowMilliseconds: Long) {
        when (phase) {
            Phase.RUNNING -> follow(pipeline.place(candidates, nowMilliseconds), nowMilliseconds)
            Phase.AWAITING_STATUS -> readStatus(candidates)
            else -> Unit
        }
    }

    fun stepAnswered(result: StepResult, nowMilliseconds: Long) {
        if (phase == Phase.RUNNING) follow(pipeline.stepAnswered(result, nowMilliseconds), nowMilliseconds)
    }

    fun backEndLost(backEnd: String, nowMilliseconds: Long) {
        if (phase == Phase.RUNNING) follow(pipeline.backEndLost(backEnd, nowMilliseconds), nowMilliseconds)
    }

    fun callAnswered(attempt: Int, outcome: CallOutcome, nowMilliseconds: Long) {
        when (phase) {
            Phase.RUNNING -> follow(pipeline.callAnswered(attempt, outcome, nowMilliseconds), nowMilliseconds)
            Phase.AWAITING_STATUS -> statusAnswered(outcome)
            else -> Unit
        }
    }

    fun commandAnswered(outcome: CommandOutcome) {
        when (phase) {
            Phase.AWAITING_INTENT -> intentAnswered(outcome)
            Phase.AWAITING_OUTCOME -> outcomeAnswered(outcome)
            else -> Unit
        }
    }

    fun wake(nowMilliseconds: Long) {
        alarm.fired()
        if (nowMilliseconds >= plan.start.deadlineMilliseconds) {
            deadlinePassed()
        } else if (phase == Phase.RUNNING) {
            follow(pipeline.wake(nowMilliseconds), nowMilliseconds)
        }
        if (!isFinished) alarm.arm(nextAlarm(nowMilliseconds))
    }

    /** The caller went away. */
    fun cancel() {
        callerTold = true
        if (plan.start.orderKey == null) finish()
    }

    private fun follow(advance: PipelineAdvance, nowMilliseconds: Long) {
        when (advance) {
            PipelineAdvance.GoesOn -> Unit
            is PipelineAdvance.Waits -> alarm.arm(advance.untilMilliseconds)
            is PipelineAdvance.Token -> {
                give(EntryEffect.GiveToken(plan.start.requestId, advance.event))
                follow(pipeline.afterToken(advance.ended), nowMilliseconds)
            }
            is PipelineAdvance.Done -> done(advance.output)
            is PipelineAdvance.Failed -> fail(advance.code)
            PipelineAdvance.InDoubt -> inDoubt()
        }
        if (phase == Phase.RUNNING) alarm.arm(nextAlarm(nowMilliseconds))
    }

    private fun nextAlarm(nowMilliseconds: Long): Long =
        minOf(plan.start.deadlineMilliseconds, pipeline.nextCheck(nowMilliseconds))

    private fun deadlinePassed() {
        when {
            phase == Phase.AWAITING_INTENT -> tell(Failure(ResultCode.CONTROL_UNREACHABLE))
            phase == Phase.RUNNING && !pipeline.holdsOrderCall -> fail(ResultCode.DEADLINE_PASSED)
            else -> tell(Failure(ResultCode.ORDER_IN_PROGRESS))
        }
    }

    private fun done(output: String) {
        if (plan.start.orderKey == null) {
            give(EntryEffect.GiveAnswer(plan.start.requestId, answer(output)))
            finish()
        } else {
            settle(OrderState.DONE, output = output)
        }
    }

    private fun fail(code: ResultCode) {
        val known = if (pipeline.mayHaveRun && code.execution == Execution.NOT_RUN) ResultCode.BACK_END_LOST else code
        val told = if (!pipeline.mayHaveRun && code == ResultCode.DEADLINE_PASSED) {
            ResultCode.DEADLINE_TOO_SHORT
        } else {
            known
        }
        if (plan.start.orderKey == null) {
            tell(Failure(told))
            finish()
        } else {
            settle(OrderState.NOT_RUN, code = told.number)
        }
    }

    private fun inDoubt() {
        if (pipeline.orderCall?.statusRead == true) {
            phase = Phase.AWAITING_STATUS
            steps += RequestStep.Place
        } else {
            settle(OrderState.IN_DOUBT)
        }
    }

    private fun settle(state: OrderState, output: String? = null, code: Int? = null) {
        pipeline.release()
        phase = Phase.AWAITING_OUTCOME
        emit(EntryEffect.Submit(plan.start.requestId, orders.outcome(state, output, code)))
    }

    private fun readStatus(candidates: List<BackEndView>) {
        val effect = pipeline.nextStatusRead(candidates)
        if (effect == null) settle(OrderState.IN_DOUBT) else emit(effect)
    }

    private fun statusAnswered(outcome: CallOutcome) {
        if (outcome is CallOutcome.Answered) {
            settle(OrderState.DONE, output = outcome.output)
        } else {
            steps += RequestStep.Place
        }
    }

    private fun intentAnswered(outcome: CommandOutcome) {
        when (val code = ResultCode.ofNumber(outcome.code)) {
            ResultCode.OK -> intentRecorded()
            ResultCode.ORDER_KNOWN -> outcome.order?.let(::orderKnown)
            else -> {
                tell(Failure(code ?: ResultCode.CONTROL_UNREACHABLE))
                finish()
            }
        }
    }

    /** An order whose caller was told "not run" while the intent was under way must not run. */
    private fun intentRecorded() {
        if (callerTold) {
            settle(OrderState.NOT_RUN, code = ResultCode.CONTROL_UNREACHABLE.number)
        } else {
            phase = Phase.RUNNING
            steps += RequestStep.Place
        }
    }

    private fun orderKnown(record: OrderRecord) {
        if (record.state == OrderState.IN_DOUBT && plan.stages.last().call?.statusRead == true) {
            phase = Phase.AWAITING_STATUS
            steps += RequestStep.Place
        } else {
            tellRecord(record)
        }
    }

    private fun outcomeAnswered(outcome: CommandOutcome) {
        val record = outcome.order
        if (record == null) {
            tell(Failure(ResultCode.ORDER_IN_DOUBT))
            finish()
        } else {
            tellRecord(record)
        }
    }

    private fun tellRecord(record: OrderRecord) {
        when (record.state) {
            OrderState.DONE -> give(EntryEffect.GiveAnswer(plan.start.requestId, answer(record.output.orEmpty())))
            OrderState.NOT_RUN ->
                tell(Failure(record.code?.let(ResultCode::ofNumber) ?: ResultCode.ORDER_NOT_RUN))
            OrderState.IN_PROGRESS -> tell(Failure(ResultCode.ORDER_IN_PROGRESS))
            OrderState.IN_DOUBT -> tell(Failure(ResultCode.ORDER_IN_DOUBT))
        }
        finish()
    }

    private fun answer(output: String) =
        ServiceAnswer(plan.start.requestId, pipeline.tokens.size, pipeline.tokens.toList(), output)

    private fun tell(failure: Failure) = give(EntryEffect.GiveFailure(plan.start.requestId, failure))

    private fun give(effect: EntryEffect) {
        if (callerTold) return
        callerTold = effect !is EntryEffect.GiveToken
        emit(effect)
    }

    private fun emit(effect: EntryEffect) {
        steps += RequestStep.Outward(effect)
    }

    private fun finish() {
        pipeline.release()
        phase = Phase.FINISHED
    }

    private enum class Phase { AWAITING_INTENT, RUNNING, AWAITING_STATUS, AWAITING_OUTCOME, FINISHED }
}
