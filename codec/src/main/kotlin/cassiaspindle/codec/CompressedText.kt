package cassiaspindle.codec

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.Base64
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Prefix of compressed text; text without it was stored by versions without compression. */
private const val COMPRESSED_PREFIX = "deflate:"

/** Compresses [text]; configurations are repetitive and shrink to a fraction of their size in storage and transfer. */
fun compressText(text: String): String {
    val compressed = ByteArrayOutputStream()
    val deflater = Deflater(Deflater.BEST_SPEED)
    try {
        DeflaterOutputStream(compressed, deflater).use { it.write(text.encodeToByteArray()) }
    } finally {
        deflater.end()
    }
    return COMPRESSED_PREFIX + Base64.getEncoder().encodeToString(compressed.toByteArray())
}

/** Reverses [compressText]; fails with [ResultCode.MALFORMED] if the text is damaged or exceeds [maximumBytes]. */
fun decompressText(compressed: String, maximumBytes: Int): Result<String, Failure> {
    if (!compressed.startsWith(COMPRESSED_PREFIX)) return Ok(compressed)
    return try {
        val bytes = Base64.getDecoder().decode(compressed.removePrefix(COMPRESSED_PREFIX))
        val text = InflaterInputStream(bytes.inputStream()).use { it.readNBytes(maximumBytes + 1) }
        val isTooLong = text.size > maximumBytes
        if (isTooLong) Err(Failure(ResultCode.MALFORMED, "text is too long")) else Ok(text.decodeToString())
    } catch (exception: IOException) {
        Err(Failure(ResultCode.MALFORMED, "compressed text can't be inflated: ${exception.message}"))
    } catch (exception: IllegalArgumentException) {
        Err(Failure(ResultCode.MALFORMED, "compressed text is not valid base64: ${exception.message}"))
    }
}
