package cassiaspindle.daemon.relay.log

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Lines that wait to be written; further ones are dropped and counted. */
private const val WAITING_LINES = 4_096

/** One line of key=value pairs for each event, written by a thread of its own; never waits for the output. */
class EventLog(private val output: PrintStream, private val wallMilliseconds: () -> Long) {
    private val queue = ArrayBlockingQueue<String>(WAITING_LINES)
    private val droppedCount = AtomicLong()
    private val writer = thread(name = "event-log", isDaemon = true) { writeAll() }

    /** Lines dropped so far because too many waited. */
    val dropped: Long get() = droppedCount.get()

    /** Writes [event] with [fields]; a value with a space is put in quotes. */
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

    /** Writes what waits, for at most [milliseconds], and stops. */
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
        /** Tells the writer to stop; compared by identity. */
        val END = StringBuilder("end").toString()
    }
}
