package cassiaspindle.daemon.entry

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.TokenEvent
import cassiaspindle.transport.http.caller.CallerEvent
import cassiaspindle.transport.http.caller.CallerSession
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.runBlocking

class CallerSessionsTest : AnnotationSpec() {
    private val ended = mutableListOf<String>()
    private var callers = emptyList<CallerSession>()

    @BeforeEach
    fun newCallers() {
        ended.clear()
        callers = (1..CALLERS).map { number -> CallerSession("$number", onDisconnect = { ended += "$number" }) }
    }

    @Test
    fun `streams that callers don't read end before they exhaust the memory, and one that is read goes on`() {
        val sessions = CallerSessions(MAXIMUM_PENDING)
        callers.forEach(sessions::add)
        val reading = callers.first()
        for (token in 1..TOKENS_OF_A_STREAM) {
            callers.forEach { sessions.send(it.requestId, CallerEvent.Token(TokenEvent(token, token.toLong()))) }
            runBlocking { reading.receive() } shouldBe CallerEvent.Token(TokenEvent(token, token.toLong()))
            callers.sumOf { it.pendingEvents.toLong() } shouldBeLessThan MAXIMUM_PENDING + CALLERS * COUNT_INTERVAL
        }
        ended.toSet() shouldBe callers.drop(1).map { it.requestId }.toSet()
        val answer = CallerEvent.Answer(ServiceAnswer(reading.requestId, 1, emptyList(), ""))
        sessions.send(reading.requestId, answer)
        runBlocking { reading.receive() } shouldBe answer
    }

    @Test
    fun `streams that have ended and are not read count as well`() {
        val sessions = CallerSessions(MAXIMUM_PENDING)
        callers.forEach { caller ->
            sessions.add(caller)
            repeat(TOKENS_OF_A_SHORT_STREAM) { sessions.send(caller.requestId, CallerEvent.Token(TokenEvent(it, 0))) }
            val failure = Failure(ResultCode.DEADLINE_PASSED)
            sessions.send(caller.requestId, CallerEvent.Failed(failure))
            callers.sumOf { it.pendingEvents.toLong() } shouldBeLessThan MAXIMUM_PENDING + CALLERS * COUNT_INTERVAL
        }
    }

    private companion object {
        const val CALLERS = 20
        const val MAXIMUM_PENDING = 20_000L
        const val COUNT_INTERVAL = 256L

        /** Each stream alone exceeds the bound. */
        const val TOKENS_OF_A_STREAM = 65_536
        const val TOKENS_OF_A_SHORT_STREAM = 4_000
    }
}
