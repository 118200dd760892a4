package cassiaspindle.storage

import cassiaspindle.codec.decodeCbor
import cassiaspindle.codec.encodeCbor
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.GroupMembership
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import java.io.IOException
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.security.SecureRandom
import java.util.HexFormat

private const val LOCK_NAME = "lock"
private const val IDENTITY_NAME = "identity"
private const val BEGINNING_NAME = "beginning"

/** The data folder of a control replica, held by one process at a time. */
class DataFolder private constructor(
    private val path: Path,
    private val channel: FileChannel,
    private val lock: FileLock,
) {
    /** The files of the folder. */
    val files: FolderFiles = diskFiles(path)

    /** The identity of the folder: written durably at the first start, and never changed. */
    fun identity(): String = files.read(IDENTITY_NAME)?.decodeToString()
        ?: newIdentity().also { writeDurably(IDENTITY_NAME, it.encodeToByteArray()) }

    /** The membership that the log begins with, or null where it was not settled yet. */
    fun initialMembership(): GroupMembership? =
        files.read(BEGINNING_NAME)?.let { decodeCbor<GroupMembership>(it).get() }

    /** Writes the membership that the log begins with durably. */
    fun writeInitialMembership(membership: GroupMembership) = writeDurably(BEGINNING_NAME, encodeCbor(membership))

    /** Short, since it travels in every replication message; 64 random bits. */
    private fun newIdentity(): String = HexFormat.of().toHexDigits(SecureRandom().nextLong())

    private fun writeDurably(name: String, content: ByteArray) {
        val file = files.open("$name.new", 0)
        file.append(content)
        file.sync()
        file.close()
        files.replace("$name.new", name)
    }

    /** Gives the folder back. */
    fun close() {
        lock.release()
        channel.close()
    }

    /** Opening. */
    companion object {
        /** Creates the folder at [path] where needed and locks it; [ResultCode.FOLDER_IN_USE] where it is held. */
        fun open(path: Path): Result<DataFolder, Failure> = try {
            Files.createDirectories(path)
            val lockFile = path.resolve(LOCK_NAME)
            val channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)
            val lock = tryLock(channel)
            if (lock == null) {
                channel.close()
                Err(Failure(ResultCode.FOLDER_IN_USE, "$path: another process holds the data folder"))
            } else {
                Ok(DataFolder(path, channel, lock))
            }
        } catch (problem: IOException) {
            Err(Failure(ResultCode.SYNC_FAILED, "$path: ${problem.message}"))
        }

        private fun tryLock(channel: FileChannel): FileLock? = try {
            channel.tryLock()
        } catch (_: OverlappingFileLockException) {
            null
        }
    }
}
