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

/** The CBOR format of frames between the processes of the system and of log files. */
@OptIn(ExperimentalSerializationApi::class)
val wireCbor = Cbor {
    ignoreUnknownKeys = true
    encodeDefaults = false
    preferCborLabelsOverNames = true
}

/** Decodes [bytes] as a [Message]; fails with [ResultCode.MALFORMED]. */
inline fun <reified Message> decodeCbor(bytes: ByteArray): Result<Message, Failure> = decodeCbor(serializer(), bytes)

/** Decodes [bytes] with [strategy]; fails with [ResultCode.MALFORMED]. */
@OptIn(ExperimentalSerializationApi::class)
fun <Message> decodeCbor(strategy: DeserializationStrategy<Message>, bytes: ByteArray): Result<Message, Failure> =
    try {
        Ok(wireCbor.decodeFromByteArray(strategy, bytes))
    } catch (exception: SerializationException) {
        Err(Failure(ResultCode.MALFORMED, exception.firstLine()))
    } catch (exception: IllegalArgumentException) {
        Err(Failure(ResultCode.MALFORMED, exception.firstLine()))
    }

/** Encodes [message]. */
@OptIn(ExperimentalSerializationApi::class)
inline fun <reified Message> encodeCbor(message: Message): ByteArray =
    wireCbor.encodeToByteArray(serializer<Message>(), message)
