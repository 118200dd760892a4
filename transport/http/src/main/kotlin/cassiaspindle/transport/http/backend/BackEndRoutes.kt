package cassiaspindle.transport.http.backend

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.Acknowledgement
import cassiaspindle.schema.AnnouncementReply
import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.CacheEvents
import cassiaspindle.schema.LeaveNotice
import cassiaspindle.schema.LoadReport
import cassiaspindle.transport.http.server.readMessage
import cassiaspindle.transport.http.server.refuse
import cassiaspindle.transport.http.server.requireKey
import cassiaspindle.transport.http.server.respondJson
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.routing.Route
import io.ktor.server.routing.post

fun Route.backEndRoutes(handlers: BackEndHandlers) {
    post("/v1/backends/announcements") {
        call.handle<BackEndAnnouncement, AnnouncementReply>(handlers, ::validateAnnouncement, handlers.announce)
    }
    post("/v1/backends/load-reports") {
        call.handle<LoadReport, Acknowledgement>(handlers, { Ok(it) }, handlers.report)
    }
    post("/v1/backends/cache-events") {
        call.handle<CacheEvents, Acknowledgement>(handlers, { Ok(it) }, handlers.cacheEvents)
    }
    post("/v1/backends/leave-notices") {
        call.handle<LeaveNotice, Acknowledgement>(handlers, { Ok(it) }, handlers.leave)
    }
}

private suspend inline fun <reified Message, reified Reply> ApplicationCall.handle(
    handlers: BackEndHandlers,
    validate: (Message) -> Result<Message, Failure>,
    handler: (Message) -> Reply,
) {
    val message = requireKey(handlers.key)
        .flatMap { readMessage<Message>(handlers.maximumMessageBytes) }
        .flatMap(validate)
    message.fold(success = { respondJson(handler(it)) }, failure = { refuse(handlers.metrics, it) })
}

/** Checks the constraints that the types of an announcement cannot express. */
private fun validateAnnouncement(announcement: BackEndAnnouncement): Result<BackEndAnnouncement, Failure> {
    val runner = announcement.runner
    val problem = when {
        (runner == null) == (announcement.plainService == null) -> "exactly one of runner and plainService is needed"
        announcement.capacity < 1 -> "/capacity: less than 1"
        announcement.incarnation < 1 -> "/incarnation: less than 1"
        runner != null && (runner.firstLayer < 0 || runner.endLayer <= runner.firstLayer) ->
            "/runner: the layer range is empty"
        else -> null
    }
    return if (problem == null) Ok(announcement) else Err(Failure(ResultCode.MALFORMED, problem))
}
