package cassiaspindle.transport.relay

import io.ktor.http.cio.ParserException
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.LineEnding
import io.ktor.utils.io.charsets.MalformedInputException
import io.ktor.utils.io.readLineStrict

/** Maximum size of a message head, in characters. */
private const val MAXIMUM_HEAD_CHARACTERS = 64 * 1024

private const val LINE_END = "\r\n"

/**
 * Reads the lines of the next message head for Ktor's parser; returns null if the connection ends before it.
 *
 * Throws an EOFException if the connection ends within a line: what was read of it is no whole line, even if it looks
 * like the blank line that ends a head.
 * Throws [ParserException] if the head exceeds the limit, so that a peer that sends bytes without end is cut off.
 */
internal suspend fun ByteReadChannel.readHead(): ByteReadChannel? {
    val head = StringBuilder()
    var line = readHeadLine(remaining = MAXIMUM_HEAD_CHARACTERS)
    while (line != null && (line.isNotEmpty() || head.isBlank())) {
        head.append(line).append(LINE_END)
        line = readHeadLine(remaining = MAXIMUM_HEAD_CHARACTERS - head.length)
    }
    return line?.let { ByteReadChannel(head.trimStart().toString() + LINE_END) }
}

private suspend fun ByteReadChannel.readHeadLine(remaining: Int): String? {
    if (remaining <= 0) throw ParserException("message head is too long")
    return try {
        readLineStrict(remaining.toLong(), LineEnding.Default)
    } catch (problem: MalformedInputException) {
        throw ParserException("invalid line in message head: ${problem.message}").initCause(problem)
    }
}
