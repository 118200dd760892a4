package cassiaspindle.entry.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.entry.routing.ChainQuestion
import cassiaspindle.entry.routing.answers
import cassiaspindle.schema.ApplicationCall
import cassiaspindle.schema.CallStage
import cassiaspindle.schema.ModelStage
import cassiaspindle.schema.StepResult
import cassiaspindle.schema.TokenEvent

/** What an event leads to in a pipeline. */
internal sealed interface PipelineAdvance {
    /** Nothing to tell the caller. */
    data object GoesOn : PipelineAdvance

    /** No backend server has room; to be placed again at [untilMilliseconds]. */
    data class Waits(val untilMilliseconds: Long) : PipelineAdvance

    /** A token for the caller; [PipelineRun.afterToken] goes on once it was given, so that tokens stay in order. */
    data class Token(val event: TokenEvent, val ended: Boolean) : PipelineAdvance

    /** The last stage has answered. */
    data class Done(val output: String) : PipelineAdvance

    /** The pipeline can't be finished. */
    data class Failed(val code: ResultCode) : PipelineAdvance

    /** The call that may not be repeated may have run, and its answer is lost. */
    data object InDoubt : PipelineAdvance
}

/** The stages of one request, one after the other, with their attempts. */
internal class PipelineRun(
    private val plan: RequestPlan,
    private val identity: EntryIdentity,
    private val policies: Policies,
    private val steps: MutableList<RequestStep>,
) {
    private var stageIndex = 0
    private var attempt = 0
    private var input = plan.start.body.input
    private var modelRun: ModelStageRun? = null
    private var callBackEnd: BackEndView? = null
    private var progressMilliseconds = 0L
    private val statusReadFrom = mutableSetOf<String>()

    /** Tokens of finished model stages. */
    private val finishedTokens = mutableListOf<Long>()

    /** Whether a backend server may have run any part of the request. */
    var mayHaveRun = false
        private set

    /** All tokens so far. */
    val tokens: List<Long> get() = finishedTokens + modelRun?.tokens.orEmpty()

    /** The call that may not be repeated, where the pipeline has one. */
    val orderCall: CallStage? get() = plan.stages.last().call?.takeIf { !it.repeatable }

    /** Whether that call is under way. */
    val holdsOrderCall: Boolean get() = callBackEnd != null && plan.stages[stageIndex].call?.repeatable == false

    fun uses(backEnd: String): Boolean = modelRun?.backEnds.orEmpty().any { it.name == backEnd }

    fun progressed(nowMilliseconds: Long) {
        progressMilliseconds = nowMilliseconds
    }

    /** When [wake] has something to look at. */
    fun nextCheck(nowMilliseconds: Long): Long {
        val run = modelRun
        return when {
            run?.isRunning == true -> progressMilliseconds + identity.progressMilliseconds
            callBackEnd != null -> Long.MAX_VALUE
            else -> nowMilliseconds + PLACE_AGAIN_MILLISECONDS
        }
    }

    fun place(candidates: List<BackEndView>, nowMilliseconds: Long): PipelineAdvance {
        if (modelRun?.isRunning == true || callBackEnd != null) return PipelineAdvance.GoesOn
        if (attempt >= MAXIMUM_ATTEMPTS) return PipelineAdvance.Failed(ResultCode.BACK_END_LOST)
        val model = plan.stages[stageIndex].model
        val call = plan.stages[stageIndex].call
        val placed = when {
            model != null -> placeModel(model, candidates)
            call != null -> placeCall(call, candidates, nowMilliseconds)
            else -> false
        }
        return when {
            placed -> PipelineAdvance.GoesOn.also { progressed(nowMilliseconds) }
            attempt == 0 && !mayHaveRun -> PipelineAdvance.Failed(refusal(candidates))
            else -> PipelineAdvance.Waits(nowMilliseconds + PLACE_AGAIN_MILLISECONDS)
        }
    }

    fun stepAnswered(result: StepResult, nowMilliseconds: Long): PipelineAdvance {
        val run = modelRun ?: return PipelineAdvance.GoesOn
        val first = run.isFirstStep
        return when (val advance = run.advance(result)) {
            StepAdvance.Late -> PipelineAdvance.GoesOn
            StepAdvance.NextHop -> {
                progressed(nowMilliseconds)
                sendStep(run)
            }
            is StepAdvance.Generated -> generated(advance, nowMilliseconds)
            StepAdvance.Refused -> {
                if (first && attempt == 1 && stageIndex == 0) mayHaveRun = false
                placeAgain(run)
            }
            StepAdvance.Broken -> placeAgain(run)
        }
    }

    /** Goes on after a token: with the next one, or with the next stage where the stage has [ended]. */
    fun afterToken(ended: Boolean): PipelineAdvance {
        val run = modelRun ?: return PipelineAdvance.GoesOn
        return if (ended) endModelStage(run) else sendStep(run)
    }

    fun backEndLost(backEnd: String, nowMilliseconds: Long): PipelineAdvance {
        val run = modelRun ?: return PipelineAdvance.GoesOn
        if (!run.isRunning || !uses(backEnd)) return PipelineAdvance.GoesOn
        progressed(nowMilliseconds)
        steps += RequestStep.Suspect(backEnd)
        return placeAgain(run)
    }

    fun callAnswered(number: Int, outcome: CallOutcome, nowMilliseconds: Long): PipelineAdvance {
        val backEnd = callBackEnd
        val stage = plan.stages[stageIndex].call
        if (number != attempt || backEnd == null || stage == null) return PipelineAdvance.GoesOn
        releaseCall()
        progressed(nowMilliseconds)
        return when {
            outcome is CallOutcome.Answered -> finishStage(outcome.output)
            outcome == CallOutcome.NotRun -> {
                if (attempt == 1 && stageIndex == 0) mayHaveRun = false
                callAgain(backEnd)
            }
            stage.repeatable -> callAgain(backEnd)
            else -> PipelineAdvance.InDoubt
        }
    }

    /** Gives up a step that has been silent too long, or places a stage that waits. */
    fun wake(nowMilliseconds: Long): PipelineAdvance {
        val run = modelRun
        val silent = nowMilliseconds - progressMilliseconds >= identity.progressMilliseconds
        if (run != null && run.isRunning && silent) {
            run.waitingFor?.let { return backEndLost(it.name, nowMilliseconds) }
        }
        if (run?.isRunning != true && callBackEnd == null) steps += RequestStep.Place
        return PipelineAdvance.GoesOn
    }

    /** The next plain service to ask for the outcome of the order, or null where all were asked. */
    fun nextStatusRead(candidates: List<BackEndView>): EntryEffect? {
        val stage = orderCall ?: return null
        val next = candidates.firstOrNull { it.name !in statusReadFrom && it.answers(stage) } ?: return null
        statusReadFrom += next.name
        return EntryEffect.ReadOrderStatus(next, plan.start.requestId, plan.applicationRequestId, attempt)
    }

    /** Gives back everything held at backend servers. */
    fun release() {
        modelRun?.takeIf { it.isRunning }?.let(::abandon)
        releaseCall()
    }

    private fun placeModel(stage: ModelStage, candidates: List<BackEndView>): Boolean {
        val question = ChainQuestion(stage, candidates, identity.availabilityZone, policies.random)
        val chain = policies.chain(question) ?: return false
        val run = modelRun ?: ModelStageRun(plan, stage, input).also { modelRun = it }
        attempt++
        run.begin(chain, attempt)
        run.backEnds.forEach { steps += RequestStep.Occupy(it.name, 1) }
        mayHaveRun = true
        sendStep(run)
        return true
    }

    private fun placeCall(stage: CallStage, candidates: List<BackEndView>, nowMilliseconds: Long): Boolean {
        val backEnd = policies.application(stage, candidates, policies.random) ?: return false
        attempt++
        callBackEnd = backEnd
        mayHaveRun = true
        steps += RequestStep.Occupy(backEnd.name, 1)
        val call = ApplicationCall(plan.applicationRequestId, stage.call, input)
        val timeout = plan.start.deadlineMilliseconds - nowMilliseconds
        emit(EntryEffect.CallApplication(plan.start.requestId, backEnd, call, attempt, timeout))
        return true
    }

    private fun sendStep(run: ModelStageRun): PipelineAdvance {
        val backEnd = checkNotNull(run.waitingFor)
        emit(EntryEffect.SendStep(backEnd, run.currentStep()))
        return PipelineAdvance.GoesOn
    }

    private fun generated(advance: StepAdvance.Generated, nowMilliseconds: Long): PipelineAdvance {
        progressed(nowMilliseconds)
        return PipelineAdvance.Token(
            TokenEvent(finishedTokens.size + advance.position, advance.token),
            advance.ended,
        )
    }

    private fun endModelStage(run: ModelStageRun): PipelineAdvance {
        abandon(run)
        finishedTokens += run.tokens
        modelRun = null
        return finishStage(run.tokens.joinToString(" "))
    }

    private fun finishStage(output: String): PipelineAdvance {
        if (stageIndex == plan.stages.lastIndex) return PipelineAdvance.Done(output)
        stageIndex++
        input = output
        steps += RequestStep.Place
        return PipelineAdvance.GoesOn
    }

    private fun placeAgain(run: ModelStageRun): PipelineAdvance {
        abandon(run)
        steps += RequestStep.Place
        return PipelineAdvance.GoesOn
    }

    private fun callAgain(backEnd: BackEndView): PipelineAdvance {
        steps += RequestStep.Suspect(backEnd.name)
        steps += RequestStep.Place
        return PipelineAdvance.GoesOn
    }

    private fun abandon(run: ModelStageRun) {
        val backEnds = run.backEnds
        val name = run.abandon()
        backEnds.forEach { backEnd ->
            steps += RequestStep.Occupy(backEnd.name, -1)
            emit(EntryEffect.CancelAttempt(backEnd, name))
        }
    }

    private fun releaseCall() {
        callBackEnd?.let { steps += RequestStep.Occupy(it.name, -1) }
        callBackEnd = null
    }

    private fun refusal(candidates: List<BackEndView>): ResultCode =
        if (candidates.any { !it.hasRoom }) ResultCode.OVERLOADED else ResultCode.NO_BACK_END

    private fun emit(effect: EntryEffect) {
        steps += RequestStep.Outward(effect)
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 6

        /** Time after which a stage that found no backend server is placed again. */
        const val PLACE_AGAIN_MILLISECONDS = 50L
    }
}
