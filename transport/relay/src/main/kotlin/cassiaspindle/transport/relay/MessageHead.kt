package cassiaspindle.transport.relay

import io.ktor.http.cio.ParserException
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.LineEnding
import io.ktor.utils.io.charsets.MalformedInputException
import io.ktor.utils.io.readLineStrict
import kotlinx.io.Buffer
import kotlinx.io.writeString

private const val LINE_END = "\r\n"

/** Bounds on one message head; a peer that exceeds one is cut off. */
data class HeadLimits(
    /** Characters of all lines. */
    val maximumCharacters: Int = DEFAULT_MAXIMUM_CHARACTERS,
    /** Lines; a head within the 16,384 bytes that callers may send has no more lines of four bytes. */
    val maximumLines: Int = 4_096,
    /** Blank lines before the first line. */
    val maximumBlankLines: Int = 16,
) {
    private companion object {
        const val DEFAULT_MAXIMUM_CHARACTERS = 64 * 1024
    }
}

/** The lines of a message head, with the blank line that ends them. */
internal class HeadLines(val firstLine: String, private val text: StringBuilder) {
    /** The lines for Ktor's parser; they can be read once. */
    fun toChannel(): ByteReadChannel = ByteReadChannel(Buffer().apply { writeString(text) })
}

/** Told the characters of each line of a head with its end, before the next one is read. */
internal typealias LineObserver = (characters: Int) -> Unit

/**
 * Reads the lines of the next message head; returns null if the connection ends before it.
 *
 * Throws [ParserException] if the first line has control characters or another one is no field: Ktor's parser accepts
 * both, and whoever reads the message after this process may read such a line otherwise.
 * Throws an EOFException if the connection ends within a line: what was read of it is no whole line, even if it looks
 * like the blank line that ends a head.
 * Throws [ParserException] if the head exceeds [limits], so that a peer that sends bytes without end is cut off.
 */
internal suspend fun ByteReadChannel.readHead(
    limits: HeadLimits = HeadLimits(),
    onLine: LineObserver = {},
): HeadLines? {
    val first = readFirstLine(limits, onLine)
    val text = StringBuilder()
    var lineCount = 0
    var line = first
    while (!line.isNullOrEmpty()) {
        if (++lineCount > limits.maximumLines) throw ParserException("message head has too many lines")
        val isValid = if (lineCount == 1) line.isText() else line.isFieldLine()
        if (!isValid) throw ParserException("line $lineCount of a message head is malformed")
        onLine(line.length + LINE_END.length)
        text.append(line).append(LINE_END)
        line = readHeadLine(remaining = limits.maximumCharacters - text.length)
    }
    if (first == null || line == null) return null
    onLine(LINE_END.length)
    return HeadLines(first, text.append(LINE_END))
}

private suspend fun ByteReadChannel.readFirstLine(limits: HeadLimits, onLine: LineObserver): String? {
    var blankLineCount = 0
    var line = readHeadLine(limits.maximumCharacters)
    while (line?.isBlank() == true) {
        if (++blankLineCount > limits.maximumBlankLines) throw ParserException("too many blank lines before a head")
        onLine(line.length + LINE_END.length)
        line = readHeadLine(limits.maximumCharacters)
    }
    return line
}

private suspend fun ByteReadChannel.readHeadLine(remaining: Int): String? {
    if (remaining <= 0) throw ParserException("message head is too long")
    return try {
        readLineStrict(remaining.toLong(), LineEnding.Default)
    } catch (problem: MalformedInputException) {
        throw ParserException("invalid line in message head: ${problem.message}").initCause(problem)
    }
}
