package cassiaspindle.entry.request

import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.ModelStage
import cassiaspindle.schema.StepResult
import cassiaspindle.schema.TokenEvent

/** Runs the tokens of a model stage on chains of runners, one attempt after the other. */
internal class ModelStageDriver(
    private val plan: RequestPlan,
    private val context: RequestContext,
    private val progress: RequestProgress,
) {
    private var run: ModelStageRun? = null
    private val chains = ChainFinder(context)

    /** Whether an attempt is under way. */
    val isRunning: Boolean get() = run?.isRunning == true

    /** Tokens of the stage so far. */
    val tokens: List<Long> get() = run?.tokens.orEmpty()

    /** The runner that has to answer now, or null. */
    val waitingFor: String? get() = run?.waitingFor?.name

    fun uses(backEnd: String): Boolean = run?.backEnds.orEmpty().any { it.name == backEnd }

    /** Starts an attempt; false where no chain has room. */
    fun place(stage: ModelStage, input: String, candidates: List<BackEndView>): Boolean {
        val chain = chains.find(stage, candidates) ?: return false
        val current = run ?: ModelStageRun(plan, stage, input).also { run = it }
        current.begin(chain, progress.nextAttempt())
        current.backEnds.forEach { context.steps.add(RequestStep.Occupy(it.name, 1)) }
        sendStep(current)
        return true
    }

    fun stepAnswered(result: StepResult, nowMilliseconds: Long): StageAdvance {
        val current = run ?: return StageAdvance.GoesOn
        val first = current.isFirstStep && progress.finishedTokens.isEmpty()
        val advance = current.advance(result)
        if (advance !is StepAdvance.Late) progress.progressMilliseconds = nowMilliseconds
        return when (advance) {
            StepAdvance.Late -> StageAdvance.GoesOn
            StepAdvance.NextHop -> sendStep(current)
            StepAdvance.Broken -> placeAgain()
            StepAdvance.Refused -> {
                progress.refusedBeforeRunning(first)
                placeAgain()
            }
            is StepAdvance.Generated -> tokenOf(advance)
        }
    }

    /** Goes on after a token: with the next one, or with the end of the stage. */
    fun afterToken(ended: Boolean): StageAdvance {
        val current = run ?: return StageAdvance.GoesOn
        return if (ended) finish(current) else sendStep(current)
    }

    /** Gives up the attempt because [backEnd] is lost, and asks for candidates for the next one. */
    fun backEndLost(backEnd: String, nowMilliseconds: Long): StageAdvance {
        if (!uses(backEnd)) return StageAdvance.GoesOn
        progress.progressMilliseconds = nowMilliseconds
        chains.avoid(backEnd)
        context.steps.add(RequestStep.Suspect(backEnd))
        return placeAgain()
    }

    /** Ends the attempt under way, if there is one, and tells its runners. */
    fun abandon() {
        val current = run?.takeIf { it.isRunning } ?: return
        val backEnds = current.backEnds
        val name = current.abandon()
        backEnds.forEach { backEnd ->
            context.steps.add(RequestStep.Occupy(backEnd.name, -1))
            context.steps.emit(EntryEffect.CancelAttempt(backEnd, name))
        }
    }

    private fun finish(current: ModelStageRun): StageAdvance {
        current.backEnds.forEach { context.steps.add(RequestStep.Prove(it.name)) }
        abandon()
        progress.finishedTokens += current.tokens
        run = null
        return StageAdvance.Done(current.tokens.joinToString(" "))
    }

    private fun placeAgain(): StageAdvance {
        abandon()
        context.steps.add(RequestStep.FindCandidates)
        return StageAdvance.GoesOn
    }

    private fun sendStep(current: ModelStageRun): StageAdvance {
        val backEnd = checkNotNull(current.waitingFor)
        context.steps.emit(EntryEffect.SendStep(backEnd, current.currentStep()))
        return StageAdvance.GoesOn
    }

    private fun tokenOf(generated: StepAdvance.Generated) = StageAdvance.Token(
        TokenEvent(progress.finishedTokens.size + generated.position, generated.token),
        generated.ended,
    )
}
