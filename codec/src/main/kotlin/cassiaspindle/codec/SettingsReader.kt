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

/** Reads settings, keys and service documents and checks them against the schema. */
object SettingsReader {
    /** Reads the settings file at [path]; [ResultCode.SETTINGS_MISSING] or [ResultCode.SETTINGS_INVALID]. */
    inline fun <reified Settings> read(path: Path): Result<Settings, Failure> =
        readText(path).flatMap { decodeValidated(it, ResultCode.SETTINGS_INVALID) }

    /** Reads a service document; [ResultCode.DOCUMENT_INVALID] with the path where it breaks the schema. */
    fun decodeDocument(text: String): Result<ServiceDocument, Failure> =
        decodeValidated(text, ResultCode.DOCUMENT_INVALID)

    /** Reads the key in the file at [path], without white space around it. */
    fun readKey(path: Path): Result<String, Failure> = readText(path).flatMap { content ->
        val key = content.trim()
        if (key.isEmpty()) Err(Failure(ResultCode.SETTINGS_MISSING, "$path: the key is empty")) else Ok(key)
    }

    /**
     * The log level that the settings file at [path] asks for, [LogLevel.INFO] where it can't be read.
     *
     * It is read before the schema check, because the check logs and the level can't change after the first event.
     */
    fun readLogLevel(path: Path): LogLevel = readText(path)
        .map { LOG_LEVEL_MEMBER.find(it)?.groupValues?.get(1) }
        .map { name -> LogLevel.entries.firstOrNull { it.name == name } }
        .get() ?: LogLevel.INFO

    /** The content of the file at [path]. */
    fun readText(path: Path): Result<String, Failure> = try {
        Ok(Files.readString(path))
    } catch (problem: IOException) {
        Err(Failure(ResultCode.SETTINGS_MISSING, "$path: can't be read (${problem.javaClass.simpleName})"))
    }

    /** Checks [text] against the schema of [Message] and reads it. */
    inline fun <reified Message> decodeValidated(text: String, code: ResultCode): Result<Message, Failure> {
        val problem = SchemaValidator.problems(Message::class.java.simpleName, text).firstOrNull()
        if (problem != null) return Err(Failure(code, problem.toString()))
        return decodeJson<Message>(text).mapError { it.copy(code = code) }
    }
}
