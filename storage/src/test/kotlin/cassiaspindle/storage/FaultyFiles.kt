package cassiaspindle.storage

import java.io.IOException

/** In-memory files with injected faults, behind the same function types as files on disk. */
class FaultyFiles {
    private val byName = mutableMapOf<String, Content>()

    /** Free space of the simulated disk, in bytes. */
    var freeBytes = Int.MAX_VALUE

    /** Whether the next sync fails. */
    var failsSync = false

    val files = FolderFiles(
        read = { byName[it]?.bytes?.copyOf() },
        open = { name, length ->
            val content = byName.getOrPut(name) { Content() }
            content.bytes = content.bytes.copyOf(length.toInt())
            content.durableLength = length.toInt()
            LogFile({ append(content, it) }, { sync(content) }, close = {})
        },
        replace = { from, to -> byName[to] = checkNotNull(byName.remove(from)) },
    )

    /** Simulates a crash: drops all unsynced bytes except for the first [kept]. */
    fun crash(name: String, kept: Int = 0) {
        val content = byName.getValue(name)
        content.bytes = content.bytes.copyOf(minOf(content.durableLength + kept, content.bytes.size))
    }

    /** Flips one bit of the byte at [offset]. */
    fun flip(name: String, offset: Int) {
        val bytes = byName.getValue(name).bytes
        bytes[offset] = (bytes[offset].toInt() xor 1).toByte()
    }

    fun length(name: String): Int = byName.getValue(name).bytes.size

    private fun append(content: Content, added: ByteArray) {
        val written = added.copyOf(minOf(added.size, freeBytes))
        content.bytes += written
        freeBytes -= written.size
        if (written.size < added.size) throw IOException("no space left")
    }

    private fun sync(content: Content) {
        if (failsSync) throw IOException("sync failed")
        content.durableLength = content.bytes.size
    }

    private class Content {
        var bytes = ByteArray(0)
        var durableLength = 0
    }
}
