package cassiaspindle.transport.relay

import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HeadersBuilder
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.respond
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeFully
import kotlinx.io.readByteArray

/** The start of the request of this call, as it came. */
fun ApplicationCall.requestHead(): RequestHead {
    val headers = request.headers.entries().flatMap { (name, values) -> values.map { Header(name, it) } }
    return RequestHead(request.httpMethod.value, request.uri, headers)
}

/** The body of this call, or null where it is larger than [maximumBytes]. */
suspend fun ApplicationCall.readBody(maximumBytes: Int): ByteArray? {
    if ((request.contentLength() ?: 0) > maximumBytes) return null
    val bytes = receiveChannel().readRemaining(maximumBytes + 1L).readByteArray()
    return bytes.takeIf { it.size <= maximumBytes }
}

/** Answers with [head] and the whole [body]. */
suspend fun ApplicationCall.answerWhole(head: ResponseHead, body: ByteArray) =
    respond(WholeContent(head.statusCode(), head.headers.toKtor(), body))

/** Answers with [head] and what [write] writes; the answer stays incomplete where [write] throws. */
suspend fun ApplicationCall.answerStream(head: ResponseHead, write: suspend (suspend (ByteArray) -> Unit) -> Unit) =
    respond(StreamContent(head.statusCode(), head.headers.toKtor(), write))

private fun ResponseHead.statusCode() = HttpStatusCode(status, reason)

private fun List<Header>.toKtor(): Headers =
    HeadersBuilder().also { builder -> forEach { builder.append(it.name, it.value) } }.build()

private class WholeContent(
    override val status: HttpStatusCode,
    override val headers: Headers,
    private val body: ByteArray,
) : OutgoingContent.ByteArrayContent() {
    override val contentLength: Long get() = body.size.toLong()

    override val contentType: ContentType? = null

    override fun bytes(): ByteArray = body
}

private class StreamContent(
    override val status: HttpStatusCode,
    override val headers: Headers,
    private val write: suspend (suspend (ByteArray) -> Unit) -> Unit,
) : OutgoingContent.WriteChannelContent() {
    override suspend fun writeTo(channel: ByteWriteChannel) = write { bytes ->
        channel.writeFully(bytes)
        channel.flush()
    }
}
