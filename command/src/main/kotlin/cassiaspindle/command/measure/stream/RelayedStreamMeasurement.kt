package cassiaspindle.command.measure.stream

import cassiaspindle.command.measure.MeasurementOptions
import cassiaspindle.command.measure.MeasurementResult
import cassiaspindle.command.measure.RowPrinter
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val CALLERS = 14
private const val WARM_UP_STREAMS = 140
private const val MEASURED_STREAMS = 280
private const val ROUNDS = 3
private const val START_TRIES = 200
private const val START_INTERVAL_MILLISECONDS = 50L
private const val IDLE_MILLISECONDS = 4_000L
private const val NANOSECONDS_PER_MILLISECOND = 1_000_000.0

/** Target of a relaying entry VM, in milliseconds of processor time. */
private const val BOUND_MILLISECONDS = 12.0

/**
 * Measures the processor time of a relaying process for a streamed request, without what the process uses idle. With a
 * baseline in [options], the two programs are measured in alternation.
 */
internal fun measureRelayedStreamCost(options: MeasurementOptions, print: RowPrinter): MeasurementResult {
    val classPath = System.getProperty("java.class.path")
    val programs = listOfNotNull(
        options.baselineClassPath?.let { MeasuredProgram("baseline", it, emptyList()) },
        MeasuredProgram("current", classPath, options.launchOptions),
    )
    val costs = (1..ROUNDS).flatMap { round ->
        programs.map { program ->
            val cost = PacedRunner(options.seed).use { runner ->
                MeasuredProcess(program).use { measureProcess(it, runner) }
            }
            print("program=${program.label} round=$round ${cost.toRow()}")
            program.label to cost.requestMilliseconds
        }
    }
    programs.forEach { program ->
        val values = costs.filter { it.first == program.label }.map { it.second }
        print("program=${program.label} request_ms_least=%.2f request_ms_most=%.2f".format(values.min(), values.max()))
    }
    val current = costs.filter { it.first == programs.last().label }.map { it.second }
    return MeasurementResult.atMost(current.average(), "milliseconds_a_request", BOUND_MILLISECONDS)
}

private fun measureProcess(process: MeasuredProcess, runner: PacedRunner): StreamCost {
    prepare(process, runner)
    val callers = List(CALLERS) { StreamCaller(process.callerPort) }
    try {
        runStreams(callers, WARM_UP_STREAMS)
        val idleStart = process.processorMilliseconds()
        Thread.sleep(IDLE_MILLISECONDS)
        val idleShare = (process.processorMilliseconds() - idleStart).toDouble() / IDLE_MILLISECONDS
        val switchesBefore = process.contextSwitches()
        val processorStart = process.processorMilliseconds()
        val startNanoseconds = System.nanoTime()
        runStreams(callers, MEASURED_STREAMS)
        val elapsedMilliseconds = (System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_MILLISECOND
        val processorMilliseconds = process.processorMilliseconds() - processorStart
        val switches = process.contextSwitches().mapValues { (group, count) -> count - (switchesBefore[group] ?: 0) }
        return StreamCost(processorMilliseconds - idleShare * elapsedMilliseconds, idleShare, switches)
    } finally {
        callers.forEach(StreamCaller::close)
    }
}

/** Puts the configuration and announces the runner, until a request is answered. */
private fun prepare(process: MeasuredProcess, runner: PacedRunner) {
    repeat(START_TRIES) { attempt ->
        if (isAnswered(process, runner, "start-$attempt")) return
        Thread.sleep(START_INTERVAL_MILLISECONDS)
    }
    error("the measured process answers no request")
}

private fun isAnswered(process: MeasuredProcess, runner: PacedRunner, id: String): Boolean = try {
    val isPrepared = StreamCaller(process.controlPort).use { it.send("PUT", CONFIGURATION_TARGET, "fixed") } &&
        StreamCaller(process.controlPort).use { it.send("POST", ANNOUNCEMENT_TARGET, runner.address) }
    isPrepared && StreamCaller(process.callerPort).use { it.stream(id) } == EVENTS_PER_STREAM
} catch (_: IOException) {
    false
}

private fun runStreams(callers: List<StreamCaller>, count: Int) {
    val complete = AtomicInteger()
    callers.mapIndexed { index, caller ->
        thread(name = "stream-caller") {
            repeat(count / callers.size) {
                if (caller.stream("request-$index-$it") == EVENTS_PER_STREAM) complete.incrementAndGet()
            }
        }
    }.forEach(Thread::join)
    check(complete.get() == count) { "${complete.get()} of $count streams were complete" }
}

/** Processor time of [MEASURED_STREAMS] streams, the share that the process uses idle, and context switches. */
private data class StreamCost(
    val processorMilliseconds: Double,
    val idleShare: Double,
    val switches: Map<String, Long>,
) {
    val requestMilliseconds: Double get() = processorMilliseconds / MEASURED_STREAMS

    fun toRow(): String {
        val eventMilliseconds = requestMilliseconds / EVENTS_PER_STREAM
        val switchesPerEvent = switches.values.sum().toDouble() / MEASURED_STREAMS / EVENTS_PER_STREAM
        val groups = switches.entries.sortedByDescending { it.value }.take(SHOWN_GROUPS)
            .joinToString(",") { "${it.key}:${it.value}" }
        return "request_ms=%.2f event_ms=%.3f idle_share=%.3f switches_an_event=%.1f switches=\"%s\""
            .format(requestMilliseconds, eventMilliseconds, idleShare, switchesPerEvent, groups)
    }

    private companion object {
        const val SHOWN_GROUPS = 4
    }
}
