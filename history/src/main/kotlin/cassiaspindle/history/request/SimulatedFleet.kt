package cassiaspindle.history.request

import cassiaspindle.core.builder.announcement
import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.RunnerDescription
import cassiaspindle.schema.StepOutcome
import cassiaspindle.schema.StepRequest
import cassiaspindle.schema.StepResult
import cassiaspindle.standin.model.FleetRecorder
import cassiaspindle.standin.runner.KvStore
import kotlin.random.Random

private const val CAPACITY = 6
internal const val MODEL = "seam-llm"
internal const val LAYERS = 32
internal const val APPLICATION = "line-app"

/** Runners, which crash, freeze and recover, and plain services. */
internal class SimulatedFleet(private val random: Random, private val recorder: FleetRecorder) {
    private val layerRanges = listOf(
        0 to HALF,
        HALF to LAYERS,
        0 to HALF + EIGHTH,
        HALF - EIGHTH to LAYERS,
        0 to QUARTER,
        QUARTER to HALF + QUARTER,
        HALF + QUARTER to LAYERS,
        0 to LAYERS,
    )

    val runners: List<SimulatedRunner> = layerRanges.mapIndexed { index, (first, end) ->
        SimulatedRunner("runner-$index", RunnerDescription("kind-${index % 2}", MODEL, "v1", first, end), recorder)
    }

    val plainServices: List<BackEndAnnouncement> = List(2) { index ->
        announcement("$APPLICATION-$index", incarnation = 1) {
            capacity = CAPACITY
            call(APPLICATION, "explain", repeatable = true)
            call(APPLICATION, "reject", repeatable = false)
        }
    }

    fun runner(name: String): SimulatedRunner? = runners.firstOrNull { it.name == name }

    /** Crashes, freezes or restores one runner. */
    fun injectRandomFault() {
        val runner = runners.random(random)
        when (random.nextInt(FAULT_CHOICES)) {
            0 -> runner.crash()
            1 -> runner.isFrozen = true
            else -> runner.recover()
        }
    }

    private companion object {
        const val FAULT_CHOICES = 6
        const val HALF = LAYERS / 2
        const val QUARTER = HALF / 2
        const val EIGHTH = QUARTER / 2
    }
}

/** An in-memory runner. */
internal class SimulatedRunner(
    val name: String,
    private val description: RunnerDescription,
    private val recorder: FleetRecorder,
) {
    private var store = KvStore(description, recorder)
    private var incarnation = 1L

    var isUp = true
        private set

    /** Whether the runner accepts steps and announces itself, but returns no results. */
    var isFrozen = false

    fun announcement(): BackEndAnnouncement = announcement(name, incarnation) {
        capacity = CAPACITY
        runner(description)
    }

    fun crash() {
        isUp = false
        store = KvStore(description, recorder)
    }

    fun recover() {
        if (!isUp) incarnation++
        isUp = true
        isFrozen = false
    }

    /** Runs [step] and returns the result, or null if the runner is down or frozen. */
    fun runStep(step: StepRequest, refuses: Boolean): StepResult? = when {
        !isUp -> null
        refuses -> StepResult(step.request, step.attempt, step.position, step.endLayer, StepOutcome.OVERLOADED)
        else -> store.run(step).takeIf { !isFrozen }
    }
}
