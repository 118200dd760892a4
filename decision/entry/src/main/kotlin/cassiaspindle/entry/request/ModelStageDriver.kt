package cassiaspindle.entry.request

import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.ModelStage
import cassiaspindle.schema.StepResult
import cassiaspindle.schema.TokenEvent

/** Generates the tokens of a model stage on chains of runners, one attempt after the other. */
internal class ModelStageDriver(
    private val plan: RequestPlan,
    private val context: RequestContext,
    private val progress: RequestProgress,
) {
    private var state: ModelStageState? = null
    private val chains = ChainFinder(context)

    /** Whether an attempt is in progress. */
    val isRunning: Boolean get() = state?.isRunning == true

    /** Tokens of the current stage so far. */
    val tokens: List<Long> get() = state?.tokens.orEmpty()

    /** The runner whose result is awaited, or null. */
    val awaitedRunner: String? get() = state?.awaitedRunner?.name

    fun uses(backEnd: String): Boolean = state?.backEnds.orEmpty().any { it.name == backEnd }

    /** Starts an attempt; returns false if no chain has room. */
    fun tryStart(stage: ModelStage, input: String, candidates: List<BackEndView>): Boolean {
        val chain = chains.find(stage, candidates) ?: return false
        val current = state ?: ModelStageState(plan, stage, input).also { state = it }
        current.startAttempt(chain, progress.nextAttempt())
        current.backEnds.forEach { context.actions.add(RequestAction.AddInFlight(it.name, 1)) }
        sendStep(current)
        return true
    }

    fun handleStepResult(result: StepResult, nowMilliseconds: Long): StageTransition {
        val current = state ?: return StageTransition.Continue
        val wasFirstStep = current.isFirstStep && progress.finishedTokens.isEmpty()
        val transition = current.applyResult(result)
        if (transition !is StepTransition.Stale) progress.lastProgressMilliseconds = nowMilliseconds
        return when (transition) {
            StepTransition.Stale -> StageTransition.Continue
            StepTransition.NextHop -> sendStep(current)
            StepTransition.AttemptFailed -> retryOnOtherChain()
            StepTransition.Refused -> {
                progress.recordRefusal(wasFirstStep)
                retryOnOtherChain()
            }
            is StepTransition.Generated -> tokenTransition(transition)
        }
    }

    /** Requests the next token, or finishes the stage if it [ended]. */
    fun continueAfterToken(ended: Boolean): StageTransition {
        val current = state ?: return StageTransition.Continue
        return if (ended) finish(current) else sendStep(current)
    }

    /** Abandons the attempt if it uses [backEnd], which is lost, and requests candidates for the next attempt. */
    fun handleBackEndLoss(backEnd: String, nowMilliseconds: Long): StageTransition {
        if (!uses(backEnd)) return StageTransition.Continue
        progress.lastProgressMilliseconds = nowMilliseconds
        chains.avoid(backEnd)
        context.actions.add(RequestAction.RecordFailure(backEnd))
        return retryOnOtherChain()
    }

    /** Abandons the attempt in progress, if there is one, and cancels it at its runners. */
    fun abandon() {
        val current = state?.takeIf { it.isRunning } ?: return
        val backEnds = current.backEnds
        val name = current.endAttempt()
        backEnds.forEach { backEnd ->
            context.actions.add(RequestAction.AddInFlight(backEnd.name, -1))
            context.actions.emit(EntryEffect.CancelAttempt(backEnd, name))
        }
    }

    private fun finish(current: ModelStageState): StageTransition {
        current.backEnds.forEach { context.actions.add(RequestAction.RecordSuccess(it.name)) }
        abandon()
        progress.finishedTokens += current.tokens
        state = null
        return StageTransition.Done(current.tokens.joinToString(" "))
    }

    private fun retryOnOtherChain(): StageTransition {
        abandon()
        context.actions.add(RequestAction.FindCandidates)
        return StageTransition.Continue
    }

    private fun sendStep(current: ModelStageState): StageTransition {
        val backEnd = checkNotNull(current.awaitedRunner)
        context.actions.emit(EntryEffect.SendStep(backEnd, current.currentStep()))
        return StageTransition.Continue
    }

    private fun tokenTransition(generated: StepTransition.Generated) = StageTransition.Token(
        TokenEvent(progress.finishedTokens.size + generated.position, generated.token),
        generated.ended,
    )
}
