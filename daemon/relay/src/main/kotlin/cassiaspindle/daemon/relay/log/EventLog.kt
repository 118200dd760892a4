package cassiaspindle.daemon.relay.log

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Capacity of the queue of unwritten lines; lines beyond it are dropped and counted. */
private const val QUEUE_CAPACITY_LINES = 4_096

/** Writes each event as a line of key=value pairs on a dedicated thread; callers never block on the output. */
class EventLog(private val output: PrintStream, private val wallMilliseconds: () -> Long) {
    private val queue = ArrayBlockingQueue<String>(QUEUE_CAPACITY_LINES)
    private val droppedCounter = AtomicLong()
    private val writer = thread(name = "event-log", isDaemon = true) { writeAll() }

    /** Number of lines dropped because the queue was full. */
    val droppedLines: Long get() = droppedCounter.get()

    /** Logs [event] with [fields]; a value with a space or a quote is quoted, and a null value is left out. */
    fun write(event: String, vararg fields: Pair<String, Any?>) {
        val line = buildString {
            append("at=").append(wallMilliseconds()).append(" event=").append(event)
            fields.forEach { (key, value) ->
                if (value != null) {
                    append(' ').append(key).append('=').append(quoteIfNeeded(value))
                }
            }
        }
        if (!queue.offer(line)) droppedCounter.incrementAndGet()
    }

    /** Writes the queued lines, for at most [timeoutMilliseconds], and stops. */
    fun close(timeoutMilliseconds: Long) {
        write("log_closed", "dropped" to droppedLines)
        queue.offer(STOP_MARKER)
        writer.join(timeoutMilliseconds)
    }

    private fun writeAll() {
        var line = queue.take()
        while (line !== STOP_MARKER) {
            output.println(line)
            if (queue.isEmpty()) output.flush()
            line = queue.take()
        }
        output.flush()
    }

    private fun quoteIfNeeded(value: Any): String {
        val text = value.toString()
        return if (text.any { it == ' ' || it == '"' }) "\"" + text.replace("\"", "'") + "\"" else text
    }

    private companion object {
        /** Stops the writer thread; compared by identity. */
        val STOP_MARKER = StringBuilder("end").toString()
    }
}
