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

fun Route.backEndRoutes(frontEnd: BackEndHandlers) {
    post("/v1/backends/announcements") {
        call.take<BackEndAnnouncement, AnnouncementReply>(frontEnd, ::checkAnnouncement, frontEnd.announce)
    }
    post("/v1/backends/load-reports") {
        call.take<LoadReport, Acknowledgement>(frontEnd, { Ok(it) }, frontEnd.report)
    }
    post("/v1/backends/cache-events") {
        call.take<CacheEvents, Acknowledgement>(frontEnd, { Ok(it) }, frontEnd.cacheEvents)
    }
    post("/v1/backends/leave-notices") {
        call.take<LeaveNotice, Acknowledgement>(frontEnd, { Ok(it) }, frontEnd.leave)
    }
}

private suspend inline fun <reified Message, reified Reply> ApplicationCall.take(
    frontEnd: BackEndHandlers,
    check: (Message) -> Result<Message, Failure>,
    decide: (Message) -> Reply,
) {
    val message = requireKey(frontEnd.key)
        .flatMap { readMessage<Message>(frontEnd.maximumMessageBytes) }
        .flatMap(check)
    message.fold(success = { respondJson(decide(it)) }, failure = { refuse(frontEnd.metrics, it) })
}

/** Checks the constraints that the types of an announcement cannot express. */
private fun checkAnnouncement(announcement: BackEndAnnouncement): Result<BackEndAnnouncement, Failure> {
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
