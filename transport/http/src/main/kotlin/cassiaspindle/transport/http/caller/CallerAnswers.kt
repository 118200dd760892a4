package cassiaspindle.transport.http.caller

import cassiaspindle.codec.encodeJson
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.transport.http.server.respondError
import cassiaspindle.transport.http.server.respondJson
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.writeStringUtf8

/** Sends the events of [session]; notifies it if the caller disconnects before the last one. */
internal suspend fun ApplicationCall.follow(frontEnd: CallerHandlers, session: CallerSession) {
    val streamed = request.header(HttpHeaders.Accept).orEmpty().contains(ContentType.Text.EventStream.toString())
    var ended = false
    try {
        if (streamed) stream(frontEnd, session) else respondWhole(frontEnd, session)
        ended = true
    } finally {
        if (!ended) session.onDisconnect()
    }
}

private suspend fun ApplicationCall.respondWhole(frontEnd: CallerHandlers, session: CallerSession) {
    var event = session.events.receive()
    while (event is CallerEvent.Token) {
        event = session.events.receive()
    }
    when (event) {
        is CallerEvent.Answer -> {
            frontEnd.metrics.count(ResultCode.OK)
            respondJson(event.answer)
        }
        is CallerEvent.Failed -> refuseRequest(frontEnd, event.failure)
        is CallerEvent.Token -> Unit
    }
}

/** Sends a failure before the first token as an error response, a later one as an event of the stream. */
private suspend fun ApplicationCall.stream(frontEnd: CallerHandlers, session: CallerSession) {
    var event = session.events.receive()
    if (event is CallerEvent.Failed) {
        refuseRequest(frontEnd, event.failure)
        return
    }
    respondBytesWriter(ContentType.Text.EventStream) {
        writeStringUtf8(eventText(frontEnd, event))
        flush()
        while (event is CallerEvent.Token) {
            event = session.events.receive()
            writeStringUtf8(eventText(frontEnd, event))
            flush()
        }
    }
}

private fun eventText(frontEnd: CallerHandlers, event: CallerEvent): String = when (event) {
    is CallerEvent.Token -> "event: token\ndata: ${encodeJson(event.token)}\n\n"
    is CallerEvent.Answer -> {
        frontEnd.metrics.count(ResultCode.OK)
        "event: answer\ndata: ${encodeJson(event.answer)}\n\n"
    }
    is CallerEvent.Failed -> {
        frontEnd.metrics.count(event.failure.code)
        "event: error\ndata: ${encodeJson(frontEnd.toErrorAnswer(event.failure))}\n\n"
    }
}

private suspend fun ApplicationCall.refuseRequest(frontEnd: CallerHandlers, failure: Failure) {
    frontEnd.metrics.count(failure.code)
    respondError(frontEnd.toErrorAnswer(failure))
}
