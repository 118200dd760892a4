package cassiaspindle.command.measure

import cassiaspindle.schema.ServiceRequest
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

private const val WARM_UP_STREAM_COUNT = 100
private const val STREAM_COUNT = 400
private const val CALLER_COUNT = 4

/** 31 ms between tokens minus the 20 ms that the stand-ins' chain takes. */
private const val ADDED_GAP_BOUND_MILLISECONDS = 11.0

/** 1.3 s to the first token minus the 0.6 s that the stand-ins' chain takes. */
private const val ADDED_FIRST_TOKEN_BOUND_MILLISECONDS = 700.0

/** Measures the time between tokens with no computing time in the layers, that is the overhead of the system. */
internal fun measureTokenCost(options: MeasurementOptions, print: RowPrinter): MeasurementResult {
    val timings = withMeasuredSystem(options) { streamTimings(it) }
    print("what=gap ${timings.gaps.toRow()}")
    val percentile95 = timings.gaps.percentile95Milliseconds()
    return MeasurementResult.atMost(percentile95, "milliseconds", ADDED_GAP_BOUND_MILLISECONDS)
}

/** Measures the time to the first token with no computing time in the layers. */
internal fun measureFirstTokenCost(options: MeasurementOptions, print: RowPrinter): MeasurementResult {
    val timings = withMeasuredSystem(options) { streamTimings(it) }
    print("what=first_token ${timings.firstTokens.toRow()}")
    print("what=answer ${timings.answers.toRow()}")
    val percentile95 = timings.firstTokens.percentile95Milliseconds()
    return MeasurementResult.atMost(percentile95, "milliseconds", ADDED_FIRST_TOKEN_BOUND_MILLISECONDS)
}

private suspend fun streamTimings(measured: MeasuredSystem): StreamTimings {
    runStreams(measured, WARM_UP_STREAM_COUNT)
    return runStreams(measured, STREAM_COUNT)
}

private suspend fun runStreams(measured: MeasuredSystem, count: Int): StreamTimings {
    val timings = StreamTimings()
    coroutineScope {
        repeat(CALLER_COUNT) { index ->
            launch { repeat(count / CALLER_COUNT) { stream(measured, "prompt $index $it", timings) } }
        }
    }
    return timings
}

private suspend fun stream(measured: MeasuredSystem, prompt: String, timings: StreamTimings) {
    val entries = measured.system.entries
    val address = entries[prompt.hashCode().mod(entries.size)].address
    val start = System.nanoTime()
    var previous = start
    measured.callerClient.stream(address, measured.example.requestService, ServiceRequest(prompt)) { token ->
        (if (token.position == 0) timings.firstTokens else timings.gaps).recordSince(previous)
        previous = System.nanoTime()
    }
    timings.answers.recordSince(start)
}

private data class StreamTimings(
    val firstTokens: Timings = Timings(),
    val gaps: Timings = Timings(),
    val answers: Timings = Timings(),
)
