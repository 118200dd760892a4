package cassiaspindle.codec

import cassiaspindle.core.identity.Digest
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ServiceDocument
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer

private const val MAXIMUM_DETAIL_CHARACTERS = 200

/** The JSON format of HTTP bodies and files: rejects unknown members, omits defaults and nulls. */
val wireJson = Json {
    ignoreUnknownKeys = false
    encodeDefaults = false
    explicitNulls = false
}

private val prettyJson = Json(wireJson) { prettyPrint = true }

/** Decodes [text] as a [Message]; fails with [ResultCode.MALFORMED]. */
inline fun <reified Message> decodeJson(text: String): Result<Message, Failure> = decodeJson(serializer(), text)

/** Decodes [text] with [strategy]; fails with [ResultCode.MALFORMED]. */
fun <Message> decodeJson(strategy: DeserializationStrategy<Message>, text: String): Result<Message, Failure> = try {
    Ok(wireJson.decodeFromString(strategy, text))
} catch (exception: SerializationException) {
    Err(Failure(ResultCode.MALFORMED, exception.firstLine()))
}

/** Encodes [message] on one line. */
inline fun <reified Message> encodeJson(message: Message): String =
    wireJson.encodeToString(serializer<Message>(), message)

/** Encodes [message] with indentation. */
fun <Message> encodePrettyJson(strategy: SerializationStrategy<Message>, message: Message): String =
    prettyJson.encodeToString(strategy, message)

/** The digest of the content of [document], independent of its formatting. */
fun digestOf(document: ServiceDocument): String = Digest.of(encodeJson(document))

internal fun Exception.firstLine(): String =
    message.orEmpty().lineSequence().first().take(MAXIMUM_DETAIL_CHARACTERS)
