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
internal suspend fun ApplicationCall.sendEvents(handlers: CallerHandlers, session: CallerSession) {
    val acceptsStream = request.header(HttpHeaders.Accept).orEmpty().contains(ContentType.Text.EventStream.toString())
    var isComplete = false
    try {
        if (acceptsStream) respondStream(handlers, session) else respondComplete(handlers, session)
        isComplete = true
    } finally {
        if (!isComplete) session.onDisconnect()
        session.onClosed()
    }
}

private suspend fun ApplicationCall.respondComplete(handlers: CallerHandlers, session: CallerSession) {
    var event = session.receive()
    while (event is CallerEvent.Token) {
        event = session.receive()
    }
    when (event) {
        is CallerEvent.Answer -> {
            handlers.metrics.count(ResultCode.OK)
            respondJson(event.answer)
        }
        is CallerEvent.Failed -> refuse(handlers, event.failure)
        is CallerEvent.Token -> Unit
    }
}

/** Sends a failure before the first token as an error response, a later one as an event of the stream. */
private suspend fun ApplicationCall.respondStream(handlers: CallerHandlers, session: CallerSession) {
    var event = session.receive()
    if (event is CallerEvent.Failed) {
        refuse(handlers, event.failure)
        return
    }
    respondBytesWriter(ContentType.Text.EventStream) {
        writeStringUtf8(encodeEvent(handlers, event))
        flush()
        while (event is CallerEvent.Token) {
            event = session.receive()
            writeStringUtf8(encodeEvent(handlers, event))
            flush()
        }
    }
}

private fun encodeEvent(handlers: CallerHandlers, event: CallerEvent): String = when (event) {
    is CallerEvent.Token -> "event: token\ndata: ${encodeJson(event.token)}\n\n"
    is CallerEvent.Answer -> {
        handlers.metrics.count(ResultCode.OK)
        "event: answer\ndata: ${encodeJson(event.answer)}\n\n"
    }
    is CallerEvent.Failed -> {
        handlers.metrics.count(event.failure.code)
        "event: error\ndata: ${encodeJson(handlers.toErrorAnswer(event.failure))}\n\n"
    }
}

internal suspend fun ApplicationCall.refuse(handlers: CallerHandlers, failure: Failure) {
    handlers.metrics.count(failure.code)
    respondError(handlers.toErrorAnswer(failure))
}
