package cassiaspindle.transport.peer

import cassiaspindle.codec.decodeCbor
import cassiaspindle.codec.encodeCbor
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.PeerFrame
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt

/** Reads one frame: a 4-byte length, then CBOR; checks the length before reading the content. */
internal suspend fun ByteReadChannel.readFrame(maximumBytes: Int): Result<PeerFrame, Failure> {
    val length = readInt()
    return when {
        length < 1 -> Err(Failure(ResultCode.MALFORMED, "invalid frame length $length"))
        length > maximumBytes -> Err(Failure(ResultCode.TOO_LARGE, "frame length $length is too large"))
        else -> decodeCbor<PeerFrame>(readByteArray(length))
    }
}

/** A frame to send to one or several processes; it is encoded only once. */
class OutgoingFrame(
    /** The decoded frame. */
    val frame: PeerFrame,
) {
    internal val bytes: ByteArray by lazy { encodeCbor(frame) }
}

/** Writes one frame without flushing and returns its size in bytes. */
internal suspend fun ByteWriteChannel.writeFrame(frame: OutgoingFrame): Int {
    writeInt(frame.bytes.size)
    writeFully(frame.bytes)
    return frame.bytes.size + Int.SIZE_BYTES
}
