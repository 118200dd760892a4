package cassiaspindle.transport.peer

import java.io.File

private const val LIMITS_FILE = "/proc/self/limits"
private const val DESCRIPTORS_LINE = "Max open files"

/** Descriptors that are assumed if the limit can't be read. */
private const val DEFAULT_DESCRIPTORS = 4_096L

/** The soft limit on the descriptors of this process. */
fun descriptorLimit(): Long = runCatching { File(LIMITS_FILE).readLines() }.getOrDefault(emptyList())
    .firstOrNull { it.startsWith(DESCRIPTORS_LINE) }
    ?.removePrefix(DESCRIPTORS_LINE)?.trim()?.substringBefore(' ')?.toLongOrNull()
    ?: DEFAULT_DESCRIPTORS
