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

/** JSON as it goes over HTTP and stands in files: unknown members are refused, defaults and nulls left out. */
val wireJson = Json {
    ignoreUnknownKeys = false
    encodeDefaults = false
    explicitNulls = false
}

private val readableJson = Json(wireJson) { prettyPrint = true }

/** Reads [text] as a [Message]; [ResultCode.MALFORMED] where it is none. */
inline fun <reified Message> decodeJson(text: String): Result<Message, Failure> = decodeJson(serializer(), text)

/** Reads [text] by [strategy]; [ResultCode.MALFORMED] where it does not fit. */
fun <Message> decodeJson(strategy: DeserializationStrategy<Message>, text: String): Result<Message, Failure> = try {
    Ok(wireJson.decodeFromString(strategy, text))
} catch (problem: SerializationException) {
    Err(Failure(ResultCode.MALFORMED, problem.firstLine()))
}

/** Writes [message] on one line. */
inline fun <reified Message> encodeJson(message: Message): String =
    wireJson.encodeToString(serializer<Message>(), message)

/** Writes [message] over several lines. */
fun <Message> encodePrettyJson(strategy: SerializationStrategy<Message>, message: Message): String =
    readableJson.encodeToString(strategy, message)

/** Digest of the content of [document], which does not depend on how it was formatted. */
fun digestOf(document: ServiceDocument): String = Digest.of(encodeJson(document))

internal fun Exception.firstLine(): String =
    message.orEmpty().lineSequence().first().take(MAXIMUM_DETAIL_CHARACTERS)
