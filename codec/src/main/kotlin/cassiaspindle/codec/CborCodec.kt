package cassiaspindle.codec

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.serializer

/** CBOR as it goes between own processes and into the log file. */
@OptIn(ExperimentalSerializationApi::class)
val wireCbor = Cbor {
    ignoreUnknownKeys = true
    encodeDefaults = false
    preferCborLabelsOverNames = true
}

/** Reads [bytes] as a [Message]; [ResultCode.MALFORMED] where they are none. */
inline fun <reified Message> decodeCbor(bytes: ByteArray): Result<Message, Failure> = decodeCbor(serializer(), bytes)

/** Reads [bytes] by [strategy]; [ResultCode.MALFORMED] where they do not fit. */
@OptIn(ExperimentalSerializationApi::class)
fun <Message> decodeCbor(strategy: DeserializationStrategy<Message>, bytes: ByteArray): Result<Message, Failure> =
    try {
        Ok(wireCbor.decodeFromByteArray(strategy, bytes))
    } catch (problem: SerializationException) {
        Err(Failure(ResultCode.MALFORMED, problem.firstLine()))
    } catch (problem: IllegalArgumentException) {
        Err(Failure(ResultCode.MALFORMED, problem.firstLine()))
    }

/** Writes [message]. */
@OptIn(ExperimentalSerializationApi::class)
inline fun <reified Message> encodeCbor(message: Message): ByteArray =
    wireCbor.encodeToByteArray(serializer<Message>(), message)
