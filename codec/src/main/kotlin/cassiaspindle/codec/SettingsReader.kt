package cassiaspindle.codec

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.LogLevel
import cassiaspindle.schema.ServiceDocument
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private val LOG_LEVEL_MEMBER = Regex(""""logLevel"\s*:\s*"([A-Z]+)"""")

/** Reads settings, keys and service documents; settings and documents are validated against the schema. */
object SettingsReader {
    /** Reads the settings at [path]; fails with [ResultCode.SETTINGS_MISSING] or [ResultCode.SETTINGS_INVALID]. */
    inline fun <reified Settings> read(path: Path): Result<Settings, Failure> =
        readText(path).flatMap { decodeValidated(it, ResultCode.SETTINGS_INVALID) }

    /** Decodes a service document; fails with [ResultCode.DOCUMENT_INVALID] and the path of the first violation. */
    fun decodeDocument(text: String): Result<ServiceDocument, Failure> =
        decodeValidated(text, ResultCode.DOCUMENT_INVALID)

    /** Reads the key in the file at [path], trimmed. */
    fun readKey(path: Path): Result<String, Failure> = readText(path).flatMap { content ->
        val key = content.trim()
        if (key.isEmpty()) Err(Failure(ResultCode.SETTINGS_MISSING, "$path: the key is empty")) else Ok(key)
    }

    /**
     * The log level in the settings file at [path], or [LogLevel.INFO] if it can't be read.
     *
     * It is extracted without schema validation, because the validator logs and the level can't be changed after the
     * first log event.
     */
    fun readLogLevel(path: Path): LogLevel = readText(path)
        .map { LOG_LEVEL_MEMBER.find(it)?.groupValues?.get(1) }
        .map { name -> LogLevel.entries.firstOrNull { it.name == name } }
        .get() ?: LogLevel.INFO

    /** The content of the file at [path]. */
    fun readText(path: Path): Result<String, Failure> = try {
        Ok(Files.readString(path))
    } catch (exception: IOException) {
        Err(Failure(ResultCode.SETTINGS_MISSING, "$path: can't be read (${exception.javaClass.simpleName})"))
    }

    /** Validates [text] against the schema of [Message] and decodes it; fails with [code]. */
    inline fun <reified Message> decodeValidated(text: String, code: ResultCode): Result<Message, Failure> {
        val violation = SchemaValidator.validate(Message::class.java.simpleName, text).firstOrNull()
        if (violation != null) return Err(Failure(code, violation.toString()))
        return decodeJson<Message>(text).mapError { it.copy(code = code) }
    }
}
