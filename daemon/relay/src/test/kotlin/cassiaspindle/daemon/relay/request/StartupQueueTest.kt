package cassiaspindle.daemon.relay.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking

class StartupQueueTest : AnnotationSpec() {
    private val configuration = CompletableDeferred<Unit>()
    private val queue = StartupQueue({ configuration.isCompleted }) { configuration.await() }

    @Test
    fun `requests that came before the configuration go on once it is there, those beyond the capacity at once`() =
        runBlocking {
            val waiting = List(300) { async { queue.await(deadlineMilliseconds = 60_000) } }
            while (waiting.count { it.isCompleted } < 44) kotlinx.coroutines.yield()
            waiting.count { it.isCompleted } shouldBe 44
            configuration.complete(Unit)
            waiting.awaitAll().size shouldBe 300
        }
}
