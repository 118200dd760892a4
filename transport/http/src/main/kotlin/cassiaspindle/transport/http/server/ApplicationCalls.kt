package cassiaspindle.transport.http.server

import cassiaspindle.codec.decodeJson
import cassiaspindle.codec.encodeJson
import cassiaspindle.core.identity.Digest
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.transport.http.server.engine.BOUNDED_CALL
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException

private const val BEARER_PREFIX = "Bearer "
private const val MILLISECONDS_PER_SECOND = 1_000L

/** The SHA-256 of the request's bearer key, or null if there is none. */
fun ApplicationCall.keyDigest(): String? = request.header(HttpHeaders.Authorization)
    ?.takeIf { it.startsWith(BEARER_PREFIX) }
    ?.let { Digest.of(it.removePrefix(BEARER_PREFIX)) }

/** Fails if the request's bearer key is not [key]. */
fun ApplicationCall.requireKey(key: String): Result<Unit, Failure> {
    val presentedDigest = keyDigest()
    val matches = presentedDigest != null && Digest.constantTimeEquals(presentedDigest, Digest.of(key))
    return if (matches) Ok(Unit) else Err(Failure(ResultCode.UNAUTHENTICATED))
}

/** Reads the body as text of at most [maximumBytes]; enforces the limit before anything is parsed. */
suspend fun ApplicationCall.readBodyText(maximumBytes: Int): Result<String, Failure> {
    val boundedCall = attributes.getOrNull(BOUNDED_CALL)
    val bytes = if (boundedCall == null) readChannel(maximumBytes) else boundedCall.readBody(maximumBytes)
    return bytes.flatMap(::decodeText)
}

/** Reads the body of a call on another engine than [cassiaspindle.transport.http.server.engine.BoundedEngine]. */
private suspend fun ApplicationCall.readChannel(maximumBytes: Int): Result<ByteArray, Failure> {
    val declaredBytes = request.contentLength() ?: 0
    if (declaredBytes > maximumBytes) return Err(Failure(ResultCode.TOO_LARGE))
    val bytes = receiveChannel().readRemaining(maximumBytes + 1L).readByteArray()
    return if (bytes.size > maximumBytes) Err(Failure(ResultCode.TOO_LARGE)) else Ok(bytes)
}

private fun decodeText(bytes: ByteArray): Result<String, Failure> = try {
    Ok(Charsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString())
} catch (_: CharacterCodingException) {
    Err(Failure(ResultCode.MALFORMED, "the body is not UTF-8"))
}

/** Reads and decodes the body as a [Message]. */
suspend inline fun <reified Message> ApplicationCall.readMessage(maximumBytes: Int): Result<Message, Failure> =
    readBodyText(maximumBytes).flatMap { decodeJson<Message>(it) }

/** Responds with [message] as JSON. */
suspend inline fun <reified Message> ApplicationCall.respondJson(message: Message) {
    respondText(encodeJson(message), ContentType.Application.Json, HttpStatusCode.OK)
}

/** Responds with [error] under the HTTP status of its code. */
suspend fun ApplicationCall.respondError(error: ErrorAnswer) {
    error.retryAfterMilliseconds?.let {
        response.header(HttpHeaders.RetryAfter, (it + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND)
    }
    val code = ResultCode.ofNumber(error.code) ?: ResultCode.MALFORMED
    respondText(encodeJson(error), ContentType.Application.Json, httpStatusOf(code))
}

/** Responds with [failure] as an error answer. */
suspend fun ApplicationCall.respondFailure(failure: Failure) = respondError(errorAnswerOf(failure))

/** Converts [failure] to an error answer. */
fun errorAnswerOf(failure: Failure) = ErrorAnswer(
    code = failure.code.number,
    name = failure.code.name,
    execution = failure.code.execution,
    message = failure.detail,
)
