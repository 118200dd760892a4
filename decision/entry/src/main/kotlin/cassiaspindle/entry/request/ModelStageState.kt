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
    data object Late : StepTransition

    /** The next runner of the chain has to run its layers. */
    data object NextHop : StepTransition

    /** The pass through the chain generated a token; [ended] if it was the last one. */
    data class Generated(val position: Int, val token: Long, val ended: Boolean) : StepTransition

    /** The runner did not run the step. */
    data object Refused : StepTransition

    /** The runner violated the protocol or lost the state of the attempt. */
    data object Broken : StepTransition
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
    val waitingFor: BackEndView? get() = chain?.let { it.hops[hopIndex].backEnd }

    /** Whether the attempt still awaits the result of its first step. */
    val isFirstStep: Boolean get() = kind == StepKind.PREFILL && hopIndex == 0

    /** The runners of the attempt in progress. */
    val backEnds: List<BackEndView> get() = chain?.hops.orEmpty().map(ChainHop::backEnd)

    /** Starts attempt number [number] on [chosen]. */
    fun begin(chosen: Chain, number: Int) {
        attempt = number
        chain = chosen
        hopIndex = 0
        kind = StepKind.PREFILL
        activation = null
    }

    /** Ends the attempt and returns its name. */
    fun abandon(): AttemptName {
        chain = null
        return AttemptName(plan.start.requestId, attempt)
    }

    /** Returns the step to send next. */
    fun currentStep(): StepRequest {
        val hop = currentHop()
        val first = hopIndex == 0
        return StepRequest(
            request = plan.start.requestId,
            attempt = attempt,
            position = tokens.size,
            kind = kind,
            firstLayer = hop.firstLayer,
            endLayer = hop.endLayer,
            model = stage.model,
            modelVersion = stage.modelVersion,
            samplingSeed = plan.start.body.samplingSeed,
            context = if (first) newContext() else emptyList(),
            priority = plan.start.priority,
            prompt = prompt.takeIf { first && kind == StepKind.PREFILL },
            activation = activation,
        )
    }

    /** Applies the result of a step. */
    fun advance(result: StepResult): StepTransition {
        if (!expects(result)) return StepTransition.Late
        return when (result.outcome) {
            StepOutcome.DONE -> advanceDone(result)
            StepOutcome.OVERLOADED, StepOutcome.LEAVING -> StepTransition.Refused
            StepOutcome.OUT_OF_ORDER, StepOutcome.UNKNOWN_ATTEMPT, StepOutcome.WRONG_LAYERS -> StepTransition.Broken
        }
    }

    private fun expects(result: StepResult): Boolean =
        isRunning &&
            result.attempt == attempt &&
            result.position == tokens.size &&
            result.endLayer == currentHop().endLayer

    private fun advanceDone(result: StepResult): StepTransition {
        val lastHop = hopIndex == checkNotNull(chain).hops.lastIndex
        return if (lastHop) advanceToken(result) else advanceHop(result)
    }

    private fun advanceHop(result: StepResult): StepTransition {
        activation = result.activation ?: return StepTransition.Broken
        hopIndex++
        return StepTransition.NextHop
    }

    private fun advanceToken(result: StepResult): StepTransition {
        val token = result.token ?: return StepTransition.Broken
        val position = tokens.size
        tokens += token
        hopIndex = 0
        kind = StepKind.DECODE
        activation = null
        val ended = result.endOfText || tokens.size >= plan.start.body.maximumTokens
        return StepTransition.Generated(position, token, ended)
    }

    private fun currentHop(): ChainHop = checkNotNull(chain).hops[hopIndex]

    private fun newContext(): List<Long> = if (kind == StepKind.PREFILL) tokens.toList() else listOf(tokens.last())
}
