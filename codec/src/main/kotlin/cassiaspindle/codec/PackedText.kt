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

/** What packed text begins with; text without it was stored before there was packing. */
private const val PREFIX = "deflate:"

/** Packs [text], which repeats itself as configurations do, so that it is stored and sent in a small part. */
fun compressText(text: String): String {
    val packed = ByteArrayOutputStream()
    val deflater = Deflater(Deflater.BEST_SPEED)
    try {
        DeflaterOutputStream(packed, deflater).use { it.write(text.encodeToByteArray()) }
    } finally {
        deflater.end()
    }
    return PREFIX + Base64.getEncoder().encodeToString(packed.toByteArray())
}

/** The text that [compressText] packed; [ResultCode.MALFORMED] where it is none, or longer than [maximumBytes]. */
fun decompressText(packed: String, maximumBytes: Int): Result<String, Failure> {
    if (!packed.startsWith(PREFIX)) return Ok(packed)
    return try {
        val bytes = Base64.getDecoder().decode(packed.removePrefix(PREFIX))
        val text = InflaterInputStream(bytes.inputStream()).use { it.readNBytes(maximumBytes + 1) }
        val isTooLarge = text.size > maximumBytes
        if (isTooLarge) Err(Failure(ResultCode.MALFORMED, "packed text is too long")) else Ok(text.decodeToString())
    } catch (problem: IOException) {
        Err(Failure(ResultCode.MALFORMED, "packed text can't be inflated: ${problem.message}"))
    } catch (problem: IllegalArgumentException) {
        Err(Failure(ResultCode.MALFORMED, "packed text is no base64: ${problem.message}"))
    }
}
