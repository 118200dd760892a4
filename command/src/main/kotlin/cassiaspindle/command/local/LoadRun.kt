package cassiaspindle.command.local

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.schema.Execution
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.standin.application.StandInPlainService
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
private const val CALL_KINDS = 4
private const val MILLISECONDS_PER_SECOND = 1_000L

/** Example, seed, duration and number of concurrent callers of a load run. */
data class LoadOptions(val example: Example, val seed: Int, val seconds: Int, val callers: Int)

/** Entry VMs that a load run calls, and the recorder of the stand-ins behind them. */
data class LoadTarget(val entryAddresses: List<String>, val recorder: FleetRecorder)

/** Runs concurrent callers that send requests and orders, submit each order twice, and check every answer. */
class LoadRun(
    private val options: LoadOptions,
    private val target: LoadTarget,
    httpClient: HttpClient,
    private val print: (String) -> Unit,
) {
    private val example = options.example
    private val clock = Clock.system
    private val callerClient = CallerClient(httpClient, example.accountKey, DEADLINE_MILLISECONDS)
    private val nextInputNumber = AtomicLong()
    private val counters = LoadRunCounters(clock)

    /** Runs the load and returns its report. */
    suspend fun run(): LoadRunReport {
        val endMilliseconds = clock.monotonicMilliseconds() + options.seconds * MILLISECONDS_PER_SECOND
        coroutineScope {
            repeat(options.callers) { index -> launch { callUntil(endMilliseconds, Random(options.seed + index)) } }
        }
        return counters.toReport(target.recorder)
    }

    private suspend fun callUntil(endMilliseconds: Long, random: Random) {
        while (clock.monotonicMilliseconds() < endMilliseconds) {
            val seedAddress = target.entryAddresses[random.nextInt(target.entryAddresses.size)]
            val zone = example.availabilityZones[random.nextInt(example.availabilityZones.size)]
            val discovered = callerClient.discover(seedAddress, zone).get()?.addresses.orEmpty().map { it.address }
            val addresses = discovered.ifEmpty { listOf(seedAddress) }
            when (random.nextInt(CALL_KINDS)) {
                0 -> sendOrder(addresses.first(), addresses.last(), random)
                1 -> sendRead(addresses.first())
                2 -> sendRequest(addresses.first(), streamed = false, random)
                else -> sendRequest(addresses.first(), streamed = true, random)
            }
        }
    }

    private suspend fun sendRequest(address: String, streamed: Boolean, random: Random) {
        val prompt = "analysis ${nextInputNumber.incrementAndGet()} of run ${options.seed}"
        val body = ServiceRequest(prompt, samplingSeed = random.nextLong())
        val start = clock.monotonicMilliseconds()
        val streamedTokens = mutableListOf<Long>()
        val result = if (streamed) {
            callerClient.stream(address, example.requestService, body) { streamedTokens += it.token }
        } else {
            callerClient.request(address, example.requestService, body)
        }
        val layers = MODEL_LAYERS.getValue(example.model)
        val expected = StandInModel.expectedTokens(prompt, body.samplingSeed, layers, body.maximumTokens)
        val output = StandInPlainService.expectedOutput(example.requestCall, expected.joinToString(" "))
        val answer = result.get()
        val isComplete = answer?.tokens == expected && answer.output == output &&
            (!streamed || streamedTokens == expected)
        val kind = if (streamed) "stream" else "request"
        recordRequest("$kind=${example.requestService}", isComplete, start, result)
    }

    private suspend fun sendRead(address: String) {
        val input = "status ${nextInputNumber.incrementAndGet()}"
        val start = clock.monotonicMilliseconds()
        val result = callerClient.request(address, example.readService, ServiceRequest(input))
        val expected = StandInPlainService.expectedOutput(example.readCall, input)
        recordRequest("read=${example.readService}", result.get()?.output == expected, start, result)
    }

    private fun recordRequest(label: String, isComplete: Boolean, start: Long, result: Result<ServiceAnswer, Failure>) {
        counters.recordRequest(isComplete, isNotRun(result))
        print("$label ${describe(result)} whole=$isComplete milliseconds=${clock.monotonicMilliseconds() - start}")
    }

    /** Submits an order to [address] and again to [otherAddress]; both must return the same outcome. */
    private suspend fun sendOrder(address: String, otherAddress: String, random: Random) {
        val input = "order ${nextInputNumber.incrementAndGet()} of run ${options.seed}"
        val key = OrderKey.of(clock.wallMilliseconds(), random.nextInt(), random.nextLong())
        val start = clock.monotonicMilliseconds()
        val first = callerClient.order(address, example.orderService, key, ServiceRequest(input))
        val repeated = callerClient.order(otherAddress, example.orderService, key, ServiceRequest(input))
        val expected = StandInPlainService.expectedOutput(example.orderCall, input)
        val runs = target.recorder.orderRuns("${example.account}/${key.text}")
        val ranOnce = runs == 1 && first.get()?.output == expected && repeated.get()?.output == expected
        counters.recordOrder(ranOnce, isNotRun = isNotRun(first) && isNotRun(repeated), runs)
        val outcomes = "${describe(first)} resent_${describe(repeated)}"
        print(
            "order=${example.orderService} $outcomes runs=$runs milliseconds=${clock.monotonicMilliseconds() - start}"
        )
    }

    private fun isNotRun(result: Result<ServiceAnswer, Failure>): Boolean =
        result.getError()?.code?.execution == Execution.NOT_RUN

    private fun describe(result: Result<ServiceAnswer, Failure>): String = result.fold(
        success = { "code=${ResultCode.OK.number} tokens=${it.tokenCount}" },
        failure = { "code=${it.code.number} name=${it.code} detail=\"${it.detail}\"" },
    )
}
