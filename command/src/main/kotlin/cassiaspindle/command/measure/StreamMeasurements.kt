package cassiaspindle.command.measure

import cassiaspindle.schema.ServiceRequest
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

private const val WARM_UP_STREAMS = 100
private const val STREAMS = 400
private const val CALLERS = 4

/** 31 ms between tokens minus the 20 ms that the stand-ins' chain takes. */
private const val ADDED_GAP_MILLISECONDS = 11.0

/** 1.3 s to the first token minus the 0.6 s that the stand-ins' chain takes. */
private const val ADDED_FIRST_TOKEN_MILLISECONDS = 700.0

/** Measures the time between tokens with no computing time in the layers, that is the overhead of the system. */
internal fun measureTokenCost(options: MeasureOptions, print: RowPrinter): MeasureResult {
    val timings = onMeasuredSystem(options) { streamTimings(it) }
    print("what=gap ${timings.gaps.row()}")
    return MeasureResult.atMost(timings.gaps.highMilliseconds(), "milliseconds", ADDED_GAP_MILLISECONDS)
}

/** Measures the time to the first token with no computing time in the layers. */
internal fun measureFirstTokenCost(options: MeasureOptions, print: RowPrinter): MeasureResult {
    val timings = onMeasuredSystem(options) { streamTimings(it) }
    print("what=first_token ${timings.firstTokens.row()}")
    print("what=answer ${timings.answers.row()}")
    val high = timings.firstTokens.highMilliseconds()
    return MeasureResult.atMost(high, "milliseconds", ADDED_FIRST_TOKEN_MILLISECONDS)
}

private suspend fun streamTimings(measured: MeasuredSystem): StreamTimings {
    runStreams(measured, WARM_UP_STREAMS)
    return runStreams(measured, STREAMS)
}

private suspend fun runStreams(measured: MeasuredSystem, count: Int): StreamTimings {
    val timings = StreamTimings()
    coroutineScope {
        repeat(CALLERS) { index ->
            launch { repeat(count / CALLERS) { stream(measured, "prompt $index $it", timings) } }
        }
    }
    return timings
}

private suspend fun stream(measured: MeasuredSystem, prompt: String, timings: StreamTimings) {
    val entries = measured.system.entries
    val address = entries[prompt.hashCode().mod(entries.size)].address
    val began = System.nanoTime()
    var newest = began
    measured.caller.stream(address, measured.example.requestService, ServiceRequest(prompt)) { token ->
        (if (token.position == 0) timings.firstTokens else timings.gaps).since(newest)
        newest = System.nanoTime()
    }
    timings.answers.since(began)
}

private data class StreamTimings(
    val firstTokens: Timings = Timings(),
    val gaps: Timings = Timings(),
    val answers: Timings = Timings(),
)
