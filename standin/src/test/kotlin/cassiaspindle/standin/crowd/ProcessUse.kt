package cassiaspindle.standin.crowd

import java.nio.file.Files
import java.nio.file.Path

private const val HEXADECIMAL = 16
private const val BYTES_PER_KILOBYTE = 1_024L

/** Columns of a line of the kernel's list of TCP connections. */
private const val LOCAL_ADDRESS_COLUMN = 1
private const val QUEUES_COLUMN = 4
private val TCP_LISTS = listOf("/proc/net/tcp", "/proc/net/tcp6").map(Path::of)
private val COLUMNS = Regex("\\s+")

/** What the process [processId], which listens on [ports], takes of its machine. */
class ProcessUse(private val processId: Long, private val ports: Set<Int>) {
    /** Number of open descriptors. */
    val openDescriptors: Int get() = Files.list(procFile("fd")).use { it.count().toInt() }

    /** Resident memory, in kilobytes. */
    val residentKilobytes: Long get() = statusKilobytes("VmRSS")

    /** The largest resident memory so far, in kilobytes. */
    val peakResidentKilobytes: Long get() = statusKilobytes("VmHWM")

    /** What the kernel has received for the process and the process has not read, in kilobytes. */
    val unreadKilobytes: Long
        get() = TCP_LISTS.filter(Files::exists).flatMap { Files.readAllLines(it).drop(1) }
            .sumOf(::unreadBytes) / BYTES_PER_KILOBYTE

    private fun unreadBytes(line: String): Long {
        val columns = line.trim().split(COLUMNS)
        val port = columns[LOCAL_ADDRESS_COLUMN].substringAfter(':').toInt(HEXADECIMAL)
        return if (port in ports) columns[QUEUES_COLUMN].substringAfter(':').toLong(HEXADECIMAL) else 0
    }

    private fun statusKilobytes(name: String): Long =
        Files.readAllLines(procFile("status")).first { it.startsWith(name) }.filter(Char::isDigit).toLong()

    private fun procFile(name: String): Path = Path.of("/proc", processId.toString(), name)
}
