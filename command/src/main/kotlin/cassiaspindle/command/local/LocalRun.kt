package cassiaspindle.command.local

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.standin.application.StandInApplication
import cassiaspindle.standin.model.MODEL_LAYERS
import cassiaspindle.standin.model.StandInModel
import cassiaspindle.transport.http.client.CallerClient
import cassiaspindle.transport.http.client.newHttpClient
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private const val CALLERS = 6
private const val DEADLINE_MILLISECONDS = 10_000L
private const val SHAPES = 4
private const val MILLISECONDS_PER_SECOND = 1_000L

/** How long and with which seed `local` runs. */
data class LocalOptions(val example: Example, val seed: Int, val seconds: Int)

/** Brings up an example, runs callers against it, and counts the outcome at the stand-ins. */
class LocalRun(private val options: LocalOptions, private val print: (String) -> Unit) {
    private val example = options.example
    private val clock = Clock.system
    private val random = Random(options.seed)
    private val nextName = AtomicLong()
    private val requestsWhole = AtomicInteger()
    private val requestsFailed = AtomicInteger()
    private val ordersDone = AtomicInteger()
    private val ordersFailed = AtomicInteger()
    private val client = newHttpClient()
    private val caller = CallerClient(client, example.accountKey, DEADLINE_MILLISECONDS)

    /** Runs the example; [ResultCode.LOCAL_RUN_FAILED] where an invariant did not hold. */
    fun run(): Result<Unit, Failure> {
        val system = LocalSystem(example, { bound -> random.nextInt(bound) })
        return try {
            runBlocking(Dispatchers.Default) { runIn(system) }
        } finally {
            client.close()
            system.close()
        }
    }

    private suspend fun runIn(system: LocalSystem): Result<Unit, Failure> {
        system.start().getOrElse { return Err(it) }
        val entries = system.entries.joinToString(",") { it.address }
        print("event=ready example=${example.name} seed=${options.seed} entries=$entries key=${example.accountKey}")
        val end = clock.monotonicMilliseconds() + options.seconds * MILLISECONDS_PER_SECOND
        coroutineScope {
            repeat(CALLERS) { index -> launch { callUntil(end, system, Random(options.seed + index)) } }
        }
        return report(system)
    }

    private suspend fun callUntil(endMilliseconds: Long, system: LocalSystem, own: Random) {
        while (clock.monotonicMilliseconds() < endMilliseconds) {
            val known = system.entries[own.nextInt(system.entries.size)].address
            val zone = example.availabilityZones[own.nextInt(example.availabilityZones.size)]
            val addresses = caller.discover(known, zone).get()?.addresses.orEmpty().map { it.address }
            val address = addresses.firstOrNull() ?: known
            when (own.nextInt(SHAPES)) {
                0 -> order(system, address, addresses.lastOrNull() ?: known, own)
                1 -> read(address)
                2 -> request(address, streamed = false, own)
                else -> request(address, streamed = true, own)
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
        val whole = result.fold(
            success = { it.tokens == expected && it.output == output && (!streamed || seen == expected) },
            failure = { false },
        )
        val kind = if (streamed) "stream" else "request"
        countRequest("$kind=${example.requestService}", whole, begun, result)
    }

    private suspend fun read(address: String) {
        val input = "status ${nextName.incrementAndGet()}"
        val begun = clock.monotonicMilliseconds()
        val result = caller.request(address, example.readService, ServiceRequest(input))
        val expected = StandInApplication.expectedOutput(example.readCall, input)
        countRequest("read=${example.readService}", result.get()?.output == expected, begun, result)
    }

    private fun countRequest(what: String, whole: Boolean, begun: Long, result: Result<ServiceAnswer, Failure>) {
        (if (whole) requestsWhole else requestsFailed).incrementAndGet()
        print("$what ${outcome(result)} whole=$whole milliseconds=${clock.monotonicMilliseconds() - begun}")
    }

    /** Places an order and sends it again to another entry VM: both get the one outcome. */
    private suspend fun order(system: LocalSystem, address: String, other: String, own: Random) {
        val input = "order ${nextName.incrementAndGet()} of run ${options.seed}"
        val key = OrderKey.of(clock.wallMilliseconds(), own.nextInt(), own.nextLong())
        val body = ServiceRequest(input)
        val begun = clock.monotonicMilliseconds()
        val first = caller.order(address, example.orderService, key, body)
        val again = caller.order(other, example.orderService, key, body)
        val expected = StandInApplication.expectedOutput(example.orderCall, input)
        val runs = system.recorder.orderRuns("${example.account}/${key.text}")
        val once = runs == 1 && first.get()?.output == expected && again.get()?.output == expected
        (if (once) ordersDone else ordersFailed).incrementAndGet()
        val milliseconds = clock.monotonicMilliseconds() - begun
        val outcomes = "${outcome(first)} resent_${outcome(again)}"
        print("order=${example.orderService} $outcomes runs=$runs milliseconds=$milliseconds")
    }

    private fun outcome(result: Result<ServiceAnswer, Failure>): String = result.fold(
        success = { "code=${ResultCode.OK.number} tokens=${it.tokenCount}" },
        failure = { "code=${it.code.number} name=${it.code} detail=\"${it.detail}\"" },
    )

    private fun report(system: LocalSystem): Result<Unit, Failure> {
        val layerViolations = system.recorder.layerViolations()
        val ordersTwice = system.recorder.ordersRunTwice()
        layerViolations.forEach { print("violation=layer $it") }
        print(
            "requests_whole=$requestsWhole requests_failed=$requestsFailed orders_once=$ordersDone " +
                "orders_failed=$ordersFailed orders_twice=$ordersTwice token_passes=${system.recorder.tokenPasses()} " +
                "layer_violations=${layerViolations.size}",
        )
        val held = requestsFailed.get() + ordersFailed.get() + ordersTwice + layerViolations.size == 0
        val worked = requestsWhole.get() > 0 && ordersDone.get() > 0
        print(if (held && worked) "result=ok" else "result=failed")
        return if (held && worked) Ok(Unit) else Err(Failure(ResultCode.LOCAL_RUN_FAILED))
    }
}
