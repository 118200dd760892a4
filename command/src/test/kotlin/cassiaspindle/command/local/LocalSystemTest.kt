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
import cassiaspindle.standin.application.StandInPlainService
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
    private val httpClient = newHttpClient()
    private val callerClient = CallerClient(httpClient, example.accountKey, DEADLINE_MILLISECONDS)
    private val random = Random(SEED)

    @AfterAll
    fun closeClient() = httpClient.close()

    @Test
    fun `streams resume at the next token after their runners are killed`() = withSystem { system ->
        val complete = runStreams(system) { system.runners.filter { it.name in LARGE_RUNNERS }.forEach { it.close() } }
        complete shouldBe List(STREAM_COUNT) { true }
        system.recorder.layerViolations().shouldBeEmpty()
    }

    @Test
    fun `streams resume when runners stop responding but keep their connections open`() = withSystem { system ->
        val complete = runStreams(system) { system.runners.filter { it.name in LARGE_RUNNERS }.forEach { it.freeze() } }
        complete shouldBe List(STREAM_COUNT) { true }
        system.recorder.layerViolations().shouldBeEmpty()
    }

    @Test
    fun `a draining entry VM finishes requests in flight and refuses later ones as not run`() = withSystem { system ->
        val drained = system.entries.first()
        runStreams(system) { drained.drain() } shouldBe List(STREAM_COUNT) { true }
        drained.awaitDrained(DEADLINE_MILLISECONDS) shouldBe true
        val refused = callerClient.request(drained.address, example.readService, ServiceRequest("status"))
        refused.getError()?.code shouldBe ResultCode.DRAINING
        val other = system.entries.last()
        callerClient.request(other.address, example.readService, ServiceRequest("status")).isOk shouldBe true
    }

    @Test
    fun `an order whose answer is lost is settled by a status read and runs only once`() = withSystem { system ->
        system.plainServices.forEach { it.loseAnswers() }
        val key = OrderKey.of(Clock.system.wallMilliseconds(), random.nextInt(), random.nextLong())
        val body = ServiceRequest("order")
        val shortDeadlineCaller = CallerClient(httpClient, example.accountKey, deadlineMilliseconds = 800)
        val first = system.entries.first().address
        shortDeadlineCaller.order(first, example.orderService, key, body).getError()?.code shouldBe
            ResultCode.ORDER_IN_PROGRESS
        awaitDone(system, key) shouldBe StandInPlainService.expectedOutput(example.orderCall, "order")
        val again = callerClient.order(system.entries.last().address, example.orderService, key, body)
        again.get()?.output shouldBe StandInPlainService.expectedOutput(example.orderCall, "order")
        system.recorder.orderRuns("${example.account}/${key.text}") shouldBe 1
    }

    @Test
    fun `requests with a wrong key, an unknown service or a missing order key are refused`() = withSystem { system ->
        val unknownCaller = CallerClient(httpClient, "wrong", DEADLINE_MILLISECONDS)
        val address = system.entries.first().address
        unknownCaller.request(address, example.readService, ServiceRequest("status")).getError()?.code shouldBe
            ResultCode.UNAUTHENTICATED
        callerClient.request(address, "nothing", ServiceRequest("status")).getError()?.code shouldBe
            ResultCode.UNKNOWN_SERVICE
        callerClient.request(address, example.orderService, ServiceRequest("order")).getError()?.code shouldBe
            ResultCode.ORDER_EXPECTED
    }

    /** Runs streams, calls [onFirstToken] at the first token of any, and returns which answers were complete. */
    private suspend fun runStreams(system: LocalSystem, onFirstToken: () -> Unit): List<Boolean> {
        val firstToken = CompletableDeferred<Unit>()
        return coroutineScope {
            val results = List(STREAM_COUNT) { index ->
                async { runStream(system.entries.first(), index) { firstToken.complete(Unit) } }
            }
            firstToken.await()
            onFirstToken()
            results.awaitAll()
        }
    }

    private suspend fun runStream(entry: EntryDaemon, index: Int, onToken: () -> Unit): Boolean {
        val body = ServiceRequest("prompt $index", samplingSeed = index.toLong())
        val streamedTokens = mutableListOf<Long>()
        val result: Result<ServiceAnswer, Failure> = callerClient.stream(entry.address, example.requestService, body) {
            streamedTokens += it.token
            onToken()
        }
        val layers = MODEL_LAYERS.getValue(example.model)
        val expected = StandInModel.expectedTokens(body.input, body.samplingSeed, layers, body.maximumTokens)
        if (streamedTokens != expected) {
            println("stream=$index seen=${streamedTokens.size} expected=${expected.size} result=$result")
        }
        return streamedTokens == expected && result.get()?.tokens == expected
    }

    private suspend fun awaitDone(system: LocalSystem, key: OrderKey): String? {
        var status = callerClient.orderStatus(system.entries.last().address, example.orderService, key).get()
        while (status?.state != OrderState.DONE) {
            delay(50)
            status = callerClient.orderStatus(system.entries.last().address, example.orderService, key).get()
        }
        return status.output
    }

    private fun withSystem(block: suspend (LocalSystem) -> Unit) {
        val system = LocalSystem(example, seededRandom(SEED.toLong())) { it.copy(discoveryLifetimeMilliseconds = 300) }
        try {
            runBlocking(Dispatchers.Default) {
                system.start().getOrThrow { IllegalStateException(it.toString()) }
                block(system)
            }
        } finally {
            system.close()
        }
    }

    private companion object {
        const val DEADLINE_MILLISECONDS = 20_000L
        const val SEED = 1
        const val STREAM_COUNT = 12
        val LARGE_RUNNERS = setOf("runner-0", "runner-1", "runner-2")
    }
}
