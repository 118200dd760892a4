package cassiaspindle.storage

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/** An open append-only file, as function types; each throws [IOException] on a disk error. */
data class LogFile(
    /** Appends bytes. */
    val append: (ByteArray) -> Unit,
    /** Returns once all appended bytes are durable. */
    val sync: () -> Unit,
    val close: () -> Unit,
)

/** The files of a data folder, as function types; each throws [IOException] on a disk error. */
data class FolderFiles(
    /** Content of a file, or null if it does not exist. */
    val read: (name: String) -> ByteArray?,
    /** Truncates a file to the given length and opens it for appending; creates it if it does not exist. */
    val open: (name: String, length: Long) -> LogFile,
    /** Atomically renames the first file to the name of the second and syncs the folder. */
    val replace: (from: String, to: String) -> Unit,
)

/** The files of [folder] on the disk. */
fun diskFiles(folder: Path): FolderFiles = FolderFiles(
    read = { name -> folder.resolve(name).takeIf(Files::exists)?.let(Files::readAllBytes) },
    open = { name, length -> openFile(folder, folder.resolve(name), length) },
    replace = { from, to ->
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE)
        syncFolder(folder)
    },
)

private fun openFile(folder: Path, path: Path, length: Long): LogFile {
    val channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE)
    channel.truncate(length)
    channel.position(length)
    channel.force(true)
    syncFolder(folder)
    return LogFile(
        append = { bytes -> writeAll(channel, ByteBuffer.wrap(bytes)) },
        sync = { channel.force(false) },
        close = channel::close,
    )
}

private fun writeAll(channel: FileChannel, buffer: ByteBuffer) {
    while (buffer.hasRemaining()) {
        channel.write(buffer)
    }
}

private fun syncFolder(folder: Path) {
    FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
}
