package cassiaspindle.daemon.relay.log

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Capacity of the queue of unwritten lines; lines beyond it are dropped and counted. */
private const val WAITING_LINES = 4_096

/** Writes each event as a line of key=value pairs on a dedicated thread; callers never block on the output. */
class EventLog(private val output: PrintStream, private val wallMilliseconds: () -> Long) {
    private val queue = ArrayBlockingQueue<String>(WAITING_LINES)
    private val droppedCount = AtomicLong()
    private val writer = thread(name = "event-log", isDaemon = true) { writeAll() }

    /** Number of lines dropped because the queue was full. */
    val dropped: Long get() = droppedCount.get()

    /** Logs [event] with [fields]; a value with a space or a quote is quoted, and a null value is left out. */
    fun write(event: String, vararg fields: Pair<String, Any?>) {
        val line = buildString {
            append("at=").append(wallMilliseconds()).append(" event=").append(event)
            fields.forEach { (key, value) ->
                if (value != null) {
                    append(
                        ' '
                    ).append(key).append('=').append(quoted(value))
                }
            }
        }
        if (!queue.offer(line)) droppedCount.incrementAndGet()
    }

    /** Writes the queued lines, for at most [milliseconds], and stops. */
    fun close(milliseconds: Long) {
        write("log_closed", "dropped" to dropped)
        queue.offer(END)
        writer.join(milliseconds)
    }

    private fun writeAll() {
        var line = queue.take()
        while (line !== END) {
            output.println(line)
            if (queue.isEmpty()) output.flush()
            line = queue.take()
        }
        output.flush()
    }

    private fun quoted(value: Any): String {
        val text = value.toString()
        return if (text.any { it == ' ' || it == '"' }) "\"" + text.replace("\"", "'") + "\"" else text
    }

    private companion object {
        /** Stops the writer thread; compared by identity. */
        val END = StringBuilder("end").toString()
    }
}
