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

private const val LOCK_FILE = "lock"
private const val IDENTITY_FILE = "identity"
private const val INITIAL_MEMBERSHIP_FILE = "beginning"

/** The data folder of a control replica, locked by one process at a time. */
class DataFolder private constructor(
    private val lockChannel: FileChannel,
    private val lock: FileLock,
    /** The files of the folder. */
    val files: FolderFiles,
) {
    /** The identity of the folder, which is written and synced at the first start and never changes. */
    fun identity(): String = files.read(IDENTITY_FILE)?.decodeToString()
        ?: newIdentity().also { writeDurably(IDENTITY_FILE, it.encodeToByteArray()) }

    /** The membership that the log starts with, or null if it is not decided yet. */
    fun initialMembership(): GroupMembership? =
        files.read(INITIAL_MEMBERSHIP_FILE)?.let { decodeCbor<GroupMembership>(it).get() }

    /** Writes and syncs the membership that the log starts with. */
    fun writeInitialMembership(membership: GroupMembership) =
        writeDurably(INITIAL_MEMBERSHIP_FILE, encodeCbor(membership))

    /** 64 random bits; kept short because every replication message contains it. */
    private fun newIdentity(): String = HexFormat.of().toHexDigits(SecureRandom().nextLong())

    private fun writeDurably(name: String, content: ByteArray) {
        val file = files.open("$name.new", 0)
        file.append(content)
        file.sync()
        file.close()
        files.replace("$name.new", name)
    }

    /** Releases the lock of the folder. */
    fun close() {
        lock.release()
        lockChannel.close()
    }

    companion object {
        /**
         * Creates the folder at [path] if needed and locks it; [ResultCode.FOLDER_IN_USE] if it is already locked.
         * [openFiles] opens its files.
         */
        fun open(path: Path, openFiles: (Path) -> FolderFiles = ::diskFiles): Result<DataFolder, Failure> = try {
            Files.createDirectories(path)
            val lockFile = path.resolve(LOCK_FILE)
            val channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)
            val lock = tryLock(channel)
            if (lock == null) {
                channel.close()
                Err(Failure(ResultCode.FOLDER_IN_USE, "$path: another process has locked the data folder"))
            } else {
                Ok(DataFolder(channel, lock, openFiles(path)))
            }
        } catch (exception: IOException) {
            Err(Failure(ResultCode.SYNC_FAILED, "$path: ${exception.message}"))
        }

        private fun tryLock(channel: FileChannel): FileLock? = try {
            channel.tryLock()
        } catch (_: OverlappingFileLockException) {
            null
        }
    }
}
