package cassiaspindle.codec

import cassiaspindle.core.result.Failure
import cassiaspindle.schema.KeyFiles
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import java.nio.file.Path

/** The keys of the system; never shown as text. */
data class Keys(val system: String, val operator: String, val backEnd: String) {
    override fun toString(): String = "Keys"

    /** Reading. */
    companion object {
        /** Reads the files that the settings name. */
        fun read(files: KeyFiles): Result<Keys, Failure> =
            SettingsReader.readKey(Path.of(files.system)).flatMap { system ->
                SettingsReader.readKey(Path.of(files.operator)).flatMap { operator ->
                    SettingsReader.readKey(Path.of(files.backEnd)).map { backEnd -> Keys(system, operator, backEnd) }
                }
            }
    }
}
