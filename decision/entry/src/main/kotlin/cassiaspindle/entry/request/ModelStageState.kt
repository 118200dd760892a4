package cassiaspindle.entry.request

import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.entry.routing.Chain
import cassiaspindle.entry.routing.ChainHop
import cassiaspindle.schema.AttemptName
import cassiaspindle.schema.ModelStage
import cassiaspindle.schema.StepKind
import cassiaspindle.schema.StepOutcome
import cassiaspindle.schema.StepRequest
import cassiaspindle.schema.StepResult

/** Effect of a step result on a model stage. */
internal sealed interface StepTransition {
    /** The result belongs to an abandoned attempt or is a duplicate, and is dropped. */
    data object Stale : StepTransition

    /** The next runner of the chain has to run its layers. */
    data object NextHop : StepTransition

    /** The pass through the chain generated a token; [ended] if it was the last one. */
    data class Generated(val position: Int, val token: Long, val ended: Boolean) : StepTransition

    /** The runner did not run the step. */
    data object Refused : StepTransition

    /** The runner violated the protocol or lost the state of the attempt. */
    data object AttemptFailed : StepTransition
}

/**
 * State of one model stage: its tokens and the attempt in progress.
 *
 * An attempt runs on one chain. The next attempt starts with a prefill of the prompt and all tokens so far, so that the
 * token stream continues at the next position.
 */
internal class ModelStageState(
    private val plan: RequestPlan,
    private val stage: ModelStage,
    private val prompt: String,
) {
    private var attempt = 0
    private var chain: Chain? = null
    private var hopIndex = 0
    private var kind = StepKind.PREFILL
    private var activation: String? = null

    /** Tokens of all attempts so far. */
    val tokens = mutableListOf<Long>()

    /** Whether an attempt is in progress. */
    val isRunning: Boolean get() = chain != null

    /** The runner whose result is awaited, or null. */
    val awaitedRunner: BackEndView? get() = chain?.let { it.hops[hopIndex].backEnd }

    /** Whether the attempt still awaits the result of its first step. */
    val isFirstStep: Boolean get() = kind == StepKind.PREFILL && hopIndex == 0

    /** The runners of the attempt in progress. */
    val backEnds: List<BackEndView> get() = chain?.hops.orEmpty().map(ChainHop::backEnd)

    /** Starts attempt number [number] on [newChain]. */
    fun startAttempt(newChain: Chain, number: Int) {
        attempt = number
        chain = newChain
        hopIndex = 0
        kind = StepKind.PREFILL
        activation = null
    }

    /** Ends the attempt and returns its name. */
    fun endAttempt(): AttemptName {
        chain = null
        return AttemptName(plan.request.requestId, attempt)
    }

    /** Returns the step to send next. */
    fun currentStep(): StepRequest {
        val hop = currentHop()
        val first = hopIndex == 0
        return StepRequest(
            request = plan.request.requestId,
            attempt = attempt,
            position = tokens.size,
            kind = kind,
            firstLayer = hop.firstLayer,
            endLayer = hop.endLayer,
            model = stage.model,
            modelVersion = stage.modelVersion,
            samplingSeed = plan.request.body.samplingSeed,
            context = if (first) contextTokens() else emptyList(),
            priority = plan.request.priority,
            prompt = prompt.takeIf { first && kind == StepKind.PREFILL },
            activation = activation,
        )
    }

    /** Applies the result of a step. */
    fun applyResult(result: StepResult): StepTransition {
        if (!isExpected(result)) return StepTransition.Stale
        return when (result.outcome) {
            StepOutcome.DONE -> applyCompletedStep(result)
            StepOutcome.OVERLOADED, StepOutcome.LEAVING -> StepTransition.Refused
            StepOutcome.OUT_OF_ORDER, StepOutcome.UNKNOWN_ATTEMPT, StepOutcome.WRONG_LAYERS ->
                StepTransition.AttemptFailed
        }
    }

    private fun isExpected(result: StepResult): Boolean =
        isRunning &&
            result.attempt == attempt &&
            result.position == tokens.size &&
            result.endLayer == currentHop().endLayer

    private fun applyCompletedStep(result: StepResult): StepTransition {
        val lastHop = hopIndex == checkNotNull(chain).hops.lastIndex
        return if (lastHop) addToken(result) else moveToNextHop(result)
    }

    private fun moveToNextHop(result: StepResult): StepTransition {
        activation = result.activation ?: return StepTransition.AttemptFailed
        hopIndex++
        return StepTransition.NextHop
    }

    private fun addToken(result: StepResult): StepTransition {
        val token = result.token ?: return StepTransition.AttemptFailed
        val position = tokens.size
        tokens += token
        hopIndex = 0
        kind = StepKind.DECODE
        activation = null
        val ended = result.endOfText || tokens.size >= plan.request.body.maximumTokens
        return StepTransition.Generated(position, token, ended)
    }

    private fun currentHop(): ChainHop = checkNotNull(chain).hops[hopIndex]

    private fun contextTokens(): List<Long> = if (kind == StepKind.PREFILL) tokens.toList() else listOf(tokens.last())
}
