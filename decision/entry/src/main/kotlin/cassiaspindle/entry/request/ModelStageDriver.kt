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
    private var run: ModelStageState? = null
    private val chains = ChainFinder(context)

    /** Whether an attempt is in progress. */
    val isRunning: Boolean get() = run?.isRunning == true

    /** Tokens of the current stage so far. */
    val tokens: List<Long> get() = run?.tokens.orEmpty()

    /** The runner whose result is awaited, or null. */
    val waitingFor: String? get() = run?.waitingFor?.name

    fun uses(backEnd: String): Boolean = run?.backEnds.orEmpty().any { it.name == backEnd }

    /** Starts an attempt; returns false if no chain has room. */
    fun place(stage: ModelStage, input: String, candidates: List<BackEndView>): Boolean {
        val chain = chains.find(stage, candidates) ?: return false
        val current = run ?: ModelStageState(plan, stage, input).also { run = it }
        current.begin(chain, progress.nextAttempt())
        current.backEnds.forEach { context.steps.add(RequestAction.Occupy(it.name, 1)) }
        sendStep(current)
        return true
    }

    fun stepAnswered(result: StepResult, nowMilliseconds: Long): StageTransition {
        val current = run ?: return StageTransition.GoesOn
        val first = current.isFirstStep && progress.finishedTokens.isEmpty()
        val advance = current.advance(result)
        if (advance !is StepTransition.Late) progress.progressMilliseconds = nowMilliseconds
        return when (advance) {
            StepTransition.Late -> StageTransition.GoesOn
            StepTransition.NextHop -> sendStep(current)
            StepTransition.Broken -> placeAgain()
            StepTransition.Refused -> {
                progress.refusedBeforeRunning(first)
                placeAgain()
            }
            is StepTransition.Generated -> tokenOf(advance)
        }
    }

    /** Requests the next token, or finishes the stage if it [ended]. */
    fun afterToken(ended: Boolean): StageTransition {
        val current = run ?: return StageTransition.GoesOn
        return if (ended) finish(current) else sendStep(current)
    }

    /** Abandons the attempt if it uses [backEnd], which is lost, and requests candidates for the next attempt. */
    fun backEndLost(backEnd: String, nowMilliseconds: Long): StageTransition {
        if (!uses(backEnd)) return StageTransition.GoesOn
        progress.progressMilliseconds = nowMilliseconds
        chains.avoid(backEnd)
        context.steps.add(RequestAction.Suspect(backEnd))
        return placeAgain()
    }

    /** Abandons the attempt in progress, if there is one, and cancels it at its runners. */
    fun abandon() {
        val current = run?.takeIf { it.isRunning } ?: return
        val backEnds = current.backEnds
        val name = current.abandon()
        backEnds.forEach { backEnd ->
            context.steps.add(RequestAction.Occupy(backEnd.name, -1))
            context.steps.emit(EntryEffect.CancelAttempt(backEnd, name))
        }
    }

    private fun finish(current: ModelStageState): StageTransition {
        current.backEnds.forEach { context.steps.add(RequestAction.Prove(it.name)) }
        abandon()
        progress.finishedTokens += current.tokens
        run = null
        return StageTransition.Done(current.tokens.joinToString(" "))
    }

    private fun placeAgain(): StageTransition {
        abandon()
        context.steps.add(RequestAction.FindCandidates)
        return StageTransition.GoesOn
    }

    private fun sendStep(current: ModelStageState): StageTransition {
        val backEnd = checkNotNull(current.waitingFor)
        context.steps.emit(EntryEffect.SendStep(backEnd, current.currentStep()))
        return StageTransition.GoesOn
    }

    private fun tokenOf(generated: StepTransition.Generated) = StageTransition.Token(
        TokenEvent(progress.finishedTokens.size + generated.position, generated.token),
        generated.ended,
    )
}
