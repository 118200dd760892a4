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

/** Reads one frame: its length in 4 bytes, then CBOR; the length is checked before anything is read. */
internal suspend fun ByteReadChannel.readFrame(maximumBytes: Int): Result<PeerFrame, Failure> {
    val length = readInt()
    return when {
        length < 1 -> Err(Failure(ResultCode.MALFORMED, "a frame of $length bytes"))
        length > maximumBytes -> Err(Failure(ResultCode.TOO_LARGE, "a frame of $length bytes"))
        else -> decodeCbor<PeerFrame>(readByteArray(length))
    }
}

/** A frame on its way to one or several processes; it is encoded once. */
class OutgoingFrame(
    /** What it says. */
    val frame: PeerFrame,
) {
    internal val bytes: ByteArray by lazy { encodeCbor(frame) }
}

/** Writes one frame without flushing and gives its size in bytes. */
internal suspend fun ByteWriteChannel.writeFrame(frame: OutgoingFrame): Int {
    writeInt(frame.bytes.size)
    writeFully(frame.bytes)
    return frame.bytes.size + Int.SIZE_BYTES
}
