package cassiaspindle.storage

import cassiaspindle.codec.decodeCbor
import cassiaspindle.codec.encodeCbor
import cassiaspindle.schema.LogRecord
import com.github.michaelbull.result.get
import java.nio.ByteBuffer
import java.util.zip.CRC32C

/**
 * Format of a record in the log file: length of the content (4 bytes), CRC32C of all bytes that follow (4 bytes),
 * number of bytes of the file that were durable when the record was written (8 bytes), content in CBOR.
 */
internal object RecordFormat {
    const val HEADER_BYTES = 16
    private const val CHECKSUMMED_OFFSET = 8
    private const val MAXIMUM_CONTENT_BYTES = 256 * 1024 * 1024

    fun encode(record: LogRecord, durableBytes: Long): ByteArray {
        val content = encodeCbor(record)
        val buffer = ByteBuffer.allocate(HEADER_BYTES + content.size)
        buffer.putInt(content.size)
        buffer.putInt(0)
        buffer.putLong(durableBytes)
        buffer.put(content)
        buffer.putInt(Int.SIZE_BYTES, checksum(buffer.array(), 0, buffer.capacity()))
        return buffer.array()
    }

    /** The record at [offset] of [file], or null if it is incomplete or its checksum does not match. */
    fun decode(file: ByteArray, offset: Int): StoredRecord? {
        if (offset > file.size - HEADER_BYTES) return null
        val header = ByteBuffer.wrap(file, offset, HEADER_BYTES)
        val length = header.getInt()
        val checksum = header.getInt()
        val durableBytes = header.getLong()
        val isComplete = length in 1..MAXIMUM_CONTENT_BYTES && length <= file.size - offset - HEADER_BYTES
        val isValid = isComplete && checksum == checksum(file, offset, HEADER_BYTES + length)
        return if (isValid) StoredRecord.read(file, offset + HEADER_BYTES, length, durableBytes) else null
    }

    private fun checksum(bytes: ByteArray, offset: Int, length: Int): Int {
        val checksum = CRC32C()
        checksum.update(bytes, offset + CHECKSUMMED_OFFSET, length - CHECKSUMMED_OFFSET)
        return checksum.value.toInt()
    }
}

/** A valid record with the offset of the next one. */
internal data class StoredRecord(val record: LogRecord, val durableBytes: Long, val endOffset: Int) {
    companion object {
        fun read(file: ByteArray, start: Int, length: Int, durableBytes: Long): StoredRecord? =
            decodeCbor<LogRecord>(file.copyOfRange(start, start + length)).get()
                ?.let { StoredRecord(it, durableBytes, start + length) }
    }
}
