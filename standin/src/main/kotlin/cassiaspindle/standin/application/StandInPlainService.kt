package cassiaspindle.standin.application

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ApplicationAnswer
import cassiaspindle.schema.ApplicationCall
import cassiaspindle.schema.ApplicationOrderStatus
import cassiaspindle.schema.PlainServiceDescription
import cassiaspindle.standin.announce.Announcer
import cassiaspindle.standin.announce.StandInSettings
import cassiaspindle.standin.model.FleetRecorder
import cassiaspindle.standin.server.StandInServer
import cassiaspindle.transport.http.client.AnnouncementClient
import cassiaspindle.transport.http.server.readMessage
import cassiaspindle.transport.http.server.respondFailure
import cassiaspindle.transport.http.server.respondJson
import com.github.michaelbull.result.fold
import io.ktor.server.application.call
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

private const val MAXIMUM_MESSAGE_BYTES = 1_048_576

/** A stand-in plain service: answers calls, and records those that are not idempotent. */
class StandInPlainService(
    private val settings: StandInSettings,
    private val description: PlainServiceDescription,
    private val recorder: FleetRecorder,
    client: AnnouncementClient,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val losesAnswers = AtomicBoolean(false)
    private val runningCount = AtomicInteger()
    private val server = StandInServer.start { routes() }
    private val announcer = Announcer(client, settings.entryAddresses, ::announcement, runningCount::get)

    /** Starts announcing the plain service. */
    fun start() {
        announcer.start(scope)
    }

    /** From now on, runs calls but never answers them. */
    fun loseAnswers() = losesAnswers.set(true)

    /** Stops without a leave notice. */
    fun close() {
        scope.cancel()
        server.close()
    }

    private fun announcement() = settings.announcement(server.port).copy(plainService = description)

    private fun Route.routes() {
        post("/v1/calls") {
            call.readMessage<ApplicationCall>(MAXIMUM_MESSAGE_BYTES).fold(
                success = { request ->
                    val answer = runCall(request)
                    if (answer == null) {
                        call.respondFailure(Failure(ResultCode.UNKNOWN_PATH))
                    } else {
                        call.respondJson(answer)
                    }
                },
                failure = { call.respondFailure(it) },
            )
        }
        get("/v1/order-status") {
            val requestId = call.request.queryParameters["requestId"].orEmpty()
            val output = recorder.orderOutput(requestId)
            call.respondJson(ApplicationOrderStatus(requestId, output != null, output))
        }
    }

    private suspend fun runCall(request: ApplicationCall): ApplicationAnswer? {
        val callDescription = description.calls.firstOrNull { it.name == request.call } ?: return null
        runningCount.incrementAndGet()
        val output = expectedOutput(request.call, request.body)
        if (!callDescription.repeatable) recorder.recordOrder(request.requestId, output)
        if (losesAnswers.get()) awaitCancellation()
        runningCount.decrementAndGet()
        return ApplicationAnswer(request.requestId, output)
    }

    /** Computes the output of a call, which is the same on all instances. */
    companion object {
        /** Returns the output of [call] with [body]. */
        fun expectedOutput(call: String, body: String): String = "$call done for: $body"
    }
}
