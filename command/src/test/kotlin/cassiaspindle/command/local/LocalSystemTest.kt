package cassiaspindle.command.local

import cassiaspindle.core.concurrency.seededRandom
import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.entry.EntryDaemon
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.standin.application.StandInApplication
import cassiaspindle.standin.model.MODEL_LAYERS
import cassiaspindle.standin.model.StandInModel
import cassiaspindle.transport.http.client.CallerClient
import cassiaspindle.transport.http.client.newHttpClient
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlin.random.Random

class LocalSystemTest : AnnotationSpec() {
    private val example = checkNotNull(Example.named("hooghly"))
    private val http = newHttpClient()
    private val caller = CallerClient(http, example.accountKey, DEADLINE)
    private val random = Random(SEED)

    @AfterAll
    fun stop() = http.close()

    @Test
    fun `streams resume at the next token after their runners are killed`() = withSystem { system ->
        val whole = streams(system) { system.runners.filter { it.name in LARGE_RUNNERS }.forEach { it.close() } }
        whole shouldBe List(STREAMS) { true }
        system.recorder.layerViolations().shouldBeEmpty()
    }

    @Test
    fun `streams resume when runners stop responding but keep their connections open`() = withSystem { system ->
        val whole = streams(system) { system.runners.filter { it.name in LARGE_RUNNERS }.forEach { it.freeze() } }
        whole shouldBe List(STREAMS) { true }
        system.recorder.layerViolations().shouldBeEmpty()
    }

    @Test
    fun `a draining entry VM finishes requests in flight and refuses later ones as not run`() = withSystem { system ->
        val drained = system.entries.first()
        streams(system) { drained.drain() } shouldBe List(STREAMS) { true }
        drained.awaitDrained(DEADLINE) shouldBe true
        val refused = caller.request(drained.address, example.readService, ServiceRequest("status"))
        refused.getError()?.code shouldBe ResultCode.DRAINING
        val other = system.entries.last()
        caller.request(other.address, example.readService, ServiceRequest("status")).isOk shouldBe true
    }

    @Test
    fun `an order whose answer is lost is settled by a status read and runs only once`() = withSystem { system ->
        system.applications.forEach { it.loseAnswers() }
        val key = OrderKey.of(Clock.system.wallMilliseconds(), random.nextInt(), random.nextLong())
        val body = ServiceRequest("order")
        val impatient = CallerClient(http, example.accountKey, deadlineMilliseconds = 800)
        val first = system.entries.first().address
        impatient.order(first, example.orderService, key, body).getError()?.code shouldBe ResultCode.ORDER_IN_PROGRESS
        awaitDone(system, key) shouldBe StandInApplication.expectedOutput(example.orderCall, "order")
        val again = caller.order(system.entries.last().address, example.orderService, key, body)
        again.get()?.output shouldBe StandInApplication.expectedOutput(example.orderCall, "order")
        system.recorder.orderRuns("${example.account}/${key.text}") shouldBe 1
    }

    @Test
    fun `requests with a wrong key, an unknown service or a missing order key are refused`() = withSystem { system ->
        val stranger = CallerClient(http, "wrong", DEADLINE)
        val address = system.entries.first().address
        stranger.request(address, example.readService, ServiceRequest("status")).getError()?.code shouldBe
            ResultCode.UNAUTHENTICATED
        caller.request(address, "nothing", ServiceRequest("status")).getError()?.code shouldBe
            ResultCode.UNKNOWN_SERVICE
        caller.request(address, example.orderService, ServiceRequest("order")).getError()?.code shouldBe
            ResultCode.ORDER_EXPECTED
    }

    /** Runs streams, calls [disturb] after the first token of any, and returns which answers were complete. */
    private suspend fun streams(system: LocalSystem, disturb: () -> Unit): List<Boolean> {
        val begun = CompletableDeferred<Unit>()
        return coroutineScope {
            val running = List(STREAMS) { index ->
                async { stream(system.entries.first(), index) { begun.complete(Unit) } }
            }
            begun.await()
            disturb()
            running.awaitAll()
        }
    }

    private suspend fun stream(entry: EntryDaemon, index: Int, onToken: () -> Unit): Boolean {
        val body = ServiceRequest("prompt $index", samplingSeed = index.toLong())
        val seen = mutableListOf<Long>()
        val result: Result<ServiceAnswer, Failure> = caller.stream(entry.address, example.requestService, body) {
            seen += it.token
            onToken()
        }
        val layers = MODEL_LAYERS.getValue(example.model)
        val expected = StandInModel.expectedTokens(body.input, body.samplingSeed, layers, body.maximumTokens)
        if (seen != expected) println("stream=$index seen=${seen.size} expected=${expected.size} result=$result")
        return seen == expected && result.get()?.tokens == expected
    }

    private suspend fun awaitDone(system: LocalSystem, key: OrderKey): String? {
        var status = caller.orderStatus(system.entries.last().address, example.orderService, key).get()
        while (status?.state != OrderState.DONE) {
            delay(50)
            status = caller.orderStatus(system.entries.last().address, example.orderService, key).get()
        }
        return status.output
    }

    private fun withSystem(test: suspend (LocalSystem) -> Unit) {
        val system = LocalSystem(example, seededRandom(SEED.toLong())) { it.copy(discoveryLifetimeMilliseconds = 300) }
        try {
            runBlocking(Dispatchers.Default) {
                system.start().getOrThrow { IllegalStateException(it.toString()) }
                test(system)
            }
        } finally {
            system.close()
        }
    }

    private companion object {
        const val DEADLINE = 20_000L
        const val SEED = 1
        const val STREAMS = 12
        val LARGE_RUNNERS = setOf("runner-0", "runner-1", "runner-2")
    }
}
