package cassiaspindle.command.local

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.schema.Execution
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.standin.application.StandInApplication
import cassiaspindle.standin.model.FleetRecorder
import cassiaspindle.standin.model.MODEL_LAYERS
import cassiaspindle.standin.model.StandInModel
import cassiaspindle.transport.http.client.CallerClient
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.client.HttpClient
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private const val DEADLINE_MILLISECONDS = 10_000L
private const val SHAPES = 4
private const val MILLISECONDS_PER_SECOND = 1_000L

/** Example, seed, duration and number of concurrent callers of a load run. */
data class LoadOptions(val example: Example, val seed: Int, val seconds: Int, val callers: Int)

/** Entry VMs that a load run calls, and the recorder of the stand-ins behind them. */
data class LoadTarget(val entryAddresses: List<String>, val recorder: FleetRecorder)

/** Runs concurrent callers that send requests and orders, submit each order twice, and check every answer. */
class LoadRun(
    private val options: LoadOptions,
    private val target: LoadTarget,
    http: HttpClient,
    private val print: (String) -> Unit,
) {
    private val example = options.example
    private val clock = Clock.system
    private val caller = CallerClient(http, example.accountKey, DEADLINE_MILLISECONDS)
    private val nextName = AtomicLong()
    private val counts = LoadCounts(clock)

    /** Runs the load and returns its report. */
    suspend fun run(): LoadReport {
        val end = clock.monotonicMilliseconds() + options.seconds * MILLISECONDS_PER_SECOND
        coroutineScope {
            repeat(options.callers) { index -> launch { callUntil(end, Random(options.seed + index)) } }
        }
        return counts.report(target.recorder)
    }

    private suspend fun callUntil(endMilliseconds: Long, own: Random) {
        while (clock.monotonicMilliseconds() < endMilliseconds) {
            val known = target.entryAddresses[own.nextInt(target.entryAddresses.size)]
            val zone = example.availabilityZones[own.nextInt(example.availabilityZones.size)]
            val found = caller.discover(known, zone).get()?.addresses.orEmpty().map { it.address }
            val addresses = found.ifEmpty { listOf(known) }
            when (own.nextInt(SHAPES)) {
                0 -> order(addresses.first(), addresses.last(), own)
                1 -> read(addresses.first())
                2 -> request(addresses.first(), streamed = false, own)
                else -> request(addresses.first(), streamed = true, own)
            }
        }
    }

    private suspend fun request(address: String, streamed: Boolean, own: Random) {
        val prompt = "analysis ${nextName.incrementAndGet()} of run ${options.seed}"
        val body = ServiceRequest(prompt, samplingSeed = own.nextLong())
        val begun = clock.monotonicMilliseconds()
        val seen = mutableListOf<Long>()
        val result = if (streamed) {
            caller.stream(address, example.requestService, body) { seen += it.token }
        } else {
            caller.request(address, example.requestService, body)
        }
        val layers = MODEL_LAYERS.getValue(example.model)
        val expected = StandInModel.expectedTokens(prompt, body.samplingSeed, layers, body.maximumTokens)
        val output = StandInApplication.expectedOutput(example.requestCall, expected.joinToString(" "))
        val answer = result.get()
        val isWhole = answer?.tokens == expected && answer.output == output && (!streamed || seen == expected)
        val kind = if (streamed) "stream" else "request"
        finishRequest("$kind=${example.requestService}", isWhole, begun, result)
    }

    private suspend fun read(address: String) {
        val input = "status ${nextName.incrementAndGet()}"
        val begun = clock.monotonicMilliseconds()
        val result = caller.request(address, example.readService, ServiceRequest(input))
        val expected = StandInApplication.expectedOutput(example.readCall, input)
        finishRequest("read=${example.readService}", result.get()?.output == expected, begun, result)
    }

    private fun finishRequest(what: String, isWhole: Boolean, begun: Long, result: Result<ServiceAnswer, Failure>) {
        counts.request(isWhole, isNotRun(result))
        print("$what ${describe(result)} whole=$isWhole milliseconds=${clock.monotonicMilliseconds() - begun}")
    }

    /** Submits an order to [address] and again to [other]; both must return the same outcome. */
    private suspend fun order(address: String, other: String, own: Random) {
        val input = "order ${nextName.incrementAndGet()} of run ${options.seed}"
        val key = OrderKey.of(clock.wallMilliseconds(), own.nextInt(), own.nextLong())
        val begun = clock.monotonicMilliseconds()
        val first = caller.order(address, example.orderService, key, ServiceRequest(input))
        val again = caller.order(other, example.orderService, key, ServiceRequest(input))
        val expected = StandInApplication.expectedOutput(example.orderCall, input)
        val runs = target.recorder.orderRuns("${example.account}/${key.text}")
        val isOnce = runs == 1 && first.get()?.output == expected && again.get()?.output == expected
        counts.order(isOnce, isNotRun = isNotRun(first) && isNotRun(again), runs)
        val outcomes = "${describe(first)} resent_${describe(again)}"
        print(
            "order=${example.orderService} $outcomes runs=$runs milliseconds=${clock.monotonicMilliseconds() - begun}"
        )
    }

    private fun isNotRun(result: Result<ServiceAnswer, Failure>): Boolean =
        result.getError()?.code?.execution == Execution.NOT_RUN

    private fun describe(result: Result<ServiceAnswer, Failure>): String = result.fold(
        success = { "code=${ResultCode.OK.number} tokens=${it.tokenCount}" },
        failure = { "code=${it.code.number} name=${it.code} detail=\"${it.detail}\"" },
    )
}
