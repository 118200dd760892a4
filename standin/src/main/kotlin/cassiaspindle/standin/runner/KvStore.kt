package cassiaspindle.standin.runner

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.AttemptName
import cassiaspindle.schema.KvCache
import cassiaspindle.schema.RunnerDescription
import cassiaspindle.schema.StepKind
import cassiaspindle.schema.StepOutcome
import cassiaspindle.schema.StepRequest
import cassiaspindle.schema.StepResult
import cassiaspindle.standin.model.FleetRecorder
import cassiaspindle.standin.model.MODEL_LAYERS
import cassiaspindle.standin.model.StandInModel

private const val SHARDS = 8

/** State of the attempts on a runner; rejects steps that are repeated or out of order. */
class KvStore(private val description: RunnerDescription, private val recorder: FleetRecorder) {
    private val shards = Sharded(SHARDS) { mutableMapOf<AttemptName, AttemptState>() }

    /** Number of attempts held. */
    val size: Int get() = shards.mapEach { it.size }.sum()

    /** Runs [step], or returns the outcome that rejects it. */
    fun run(step: StepRequest): StepResult {
        val rejection = rejectionOf(step)
        val input = if (rejection == null) shards.withKey(step.request) { advance(it, step) } else null
        return if (input == null) resultOf(step, rejection ?: StepOutcome.OUT_OF_ORDER) else runLayers(step, input)
    }

    private fun runLayers(step: StepRequest, input: Activation): StepResult {
        recorder.recordLayers(step)
        val output = input.copy(value = StandInModel.runLayers(input.value, step.firstLayer, step.endLayer))
        val done = resultOf(step, StepOutcome.DONE)
        return if (step.endLayer == MODEL_LAYERS.getValue(step.model)) {
            val endOfText = step.position + 1 >= output.textLength
            done.copy(token = StandInModel.tokenOf(output.value), endOfText = endOfText)
        } else {
            done.copy(activation = output.toString())
        }
    }

    /** Discards the state of an attempt. */
    fun cancel(name: AttemptName) {
        shards.withKey(name.request) { it.remove(name) }
    }

    /** Returns the KV cache of an attempt, or null if this runner does not hold it. */
    fun export(name: AttemptName): KvCache? = shards.withKey(name.request) { attempts ->
        attempts[name]?.let {
            KvCache(name, it.firstLayer, it.endLayer, it.nextPosition, "${it.state} ${it.textLength}")
        }
    }

    /** Imports an attempt that another runner has exported. */
    fun import(cache: KvCache) {
        val (state, textLength) = cache.content.split(" ")
        shards.withKey(cache.attempt.request) {
            it[cache.attempt] = AttemptState(
                firstLayer = cache.firstLayer,
                endLayer = cache.endLayer,
                nextPosition = cache.nextPosition,
                state = state.toLong(),
                textLength = textLength.toInt(),
            )
        }
    }

    private fun rejectionOf(step: StepRequest): StepOutcome? {
        val holdsModel = step.model == description.model && step.modelVersion == description.modelVersion
        val holdsLayers = step.firstLayer >= description.firstLayer && step.endLayer <= description.endLayer
        return if (holdsModel && holdsLayers && step.firstLayer < step.endLayer) null else StepOutcome.WRONG_LAYERS
    }

    /** Advances the attempt by [step] and returns the input of its first layer, or null if the step is out of order. */
    private fun advance(attempts: MutableMap<AttemptName, AttemptState>, step: StepRequest): Activation? {
        val name = AttemptName(step.request, step.attempt)
        val current = attempts[name]
        val next = if (step.kind == StepKind.PREFILL) startAttempt(current, step) else continueAttempt(current, step)
        if (next != null) attempts[name] = next
        return next?.let { Activation.parse(step.activation) ?: Activation(it.state, it.textLength) }
    }

    private fun startAttempt(current: AttemptState?, step: StepRequest): AttemptState? {
        if (current != null) return null
        val prompt = step.prompt.orEmpty()
        val initialState = StandInModel.initialState(prompt, step.samplingSeed)
        return AttemptState(
            firstLayer = step.firstLayer,
            endLayer = step.endLayer,
            nextPosition = step.position + 1,
            state = step.context.fold(initialState, StandInModel::addToken),
            textLength = StandInModel.textLength(prompt),
        )
    }

    private fun continueAttempt(current: AttemptState?, step: StepRequest): AttemptState? {
        if (current == null || current.nextPosition != step.position) return null
        return current.copy(
            nextPosition = step.position + 1,
            state = step.context.fold(current.state, StandInModel::addToken),
        )
    }

    private fun resultOf(step: StepRequest, outcome: StepOutcome) = StepResult(
        request = step.request,
        attempt = step.attempt,
        position = step.position,
        endLayer = step.endLayer,
        outcome = outcome,
    )
}
