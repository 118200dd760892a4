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
    private val shards = Sharded(SHARDS) { mutableMapOf<AttemptName, HeldAttempt>() }

    /** Number of attempts held. */
    val size: Int get() = shards.mapEach { it.size }.sum()

    /** Runs [step], or returns the outcome that rejects it. */
    fun run(step: StepRequest): StepResult {
        val refusal = refusalOf(step)
        val input = if (refusal == null) shards.withKey(step.request) { accept(it, step) } else null
        return if (input == null) result(step, refusal ?: StepOutcome.OUT_OF_ORDER) else runLayers(step, input)
    }

    private fun runLayers(step: StepRequest, input: Activation): StepResult {
        recorder.ranLayers(step)
        val output = input.copy(value = StandInModel.runLayers(input.value, step.firstLayer, step.endLayer))
        val done = result(step, StepOutcome.DONE)
        return if (step.endLayer == MODEL_LAYERS.getValue(step.model)) {
            val ends = step.position + 1 >= output.textLength
            done.copy(token = StandInModel.tokenOf(output.value), endOfText = ends)
        } else {
            done.copy(activation = output.toString())
        }
    }

    /** Discards the state of an attempt. */
    fun cancel(name: AttemptName) {
        shards.withKey(name.request) { it.remove(name) }
    }

    /** Returns the KV cache of an attempt, or null if this runner does not hold it. */
    fun export(name: AttemptName): KvCache? = shards.withKey(name.request) { held ->
        held[name]?.let {
            KvCache(name, it.firstLayer, it.endLayer, it.nextPosition, "${it.state} ${it.textLength}")
        }
    }

    /** Imports an attempt that another runner has exported. */
    fun import(cache: KvCache) {
        val (state, textLength) = cache.content.split(" ")
        shards.withKey(cache.attempt.request) {
            it[cache.attempt] = HeldAttempt(
                firstLayer = cache.firstLayer,
                endLayer = cache.endLayer,
                nextPosition = cache.nextPosition,
                state = state.toLong(),
                textLength = textLength.toInt(),
            )
        }
    }

    private fun refusalOf(step: StepRequest): StepOutcome? {
        val holdsModel = step.model == description.model && step.modelVersion == description.modelVersion
        val holdsLayers = step.firstLayer >= description.firstLayer && step.endLayer <= description.endLayer
        return if (holdsModel && holdsLayers && step.firstLayer < step.endLayer) null else StepOutcome.WRONG_LAYERS
    }

    /** Advances the attempt by [step] and returns the input of its first layer, or null if the step is out of order. */
    private fun accept(held: MutableMap<AttemptName, HeldAttempt>, step: StepRequest): Activation? {
        val name = AttemptName(step.request, step.attempt)
        val known = held[name]
        val next = if (step.kind == StepKind.PREFILL) begin(known, step) else continued(known, step)
        if (next != null) held[name] = next
        return next?.let { Activation.parse(step.activation) ?: Activation(it.state, it.textLength) }
    }

    private fun begin(known: HeldAttempt?, step: StepRequest): HeldAttempt? {
        if (known != null) return null
        val prompt = step.prompt.orEmpty()
        val started = StandInModel.begin(prompt, step.samplingSeed)
        return HeldAttempt(
            firstLayer = step.firstLayer,
            endLayer = step.endLayer,
            nextPosition = step.position + 1,
            state = step.context.fold(started, StandInModel::addToken),
            textLength = StandInModel.textLength(prompt),
        )
    }

    private fun continued(known: HeldAttempt?, step: StepRequest): HeldAttempt? {
        if (known == null || known.nextPosition != step.position) return null
        return known.copy(
            nextPosition = step.position + 1,
            state = step.context.fold(known.state, StandInModel::addToken),
        )
    }

    private fun result(step: StepRequest, outcome: StepOutcome) = StepResult(
        request = step.request,
        attempt = step.attempt,
        position = step.position,
        endLayer = step.endLayer,
        outcome = outcome,
    )
}
