package cassiaspindle.codec

import cassiaspindle.core.result.Failure
import cassiaspindle.schema.KeyFiles
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import java.nio.file.Path

/** The secret keys of the system; their text representation does not contain them. */
data class Keys(val system: String, val operator: String, val backEnd: String) {
    override fun toString(): String = "Keys"

    companion object {
        /** Reads the key files named in the settings. */
        fun read(files: KeyFiles): Result<Keys, Failure> =
            SettingsReader.readKey(Path.of(files.system)).flatMap { system ->
                SettingsReader.readKey(Path.of(files.operator)).flatMap { operator ->
                    SettingsReader.readKey(Path.of(files.backEnd)).map { backEnd -> Keys(system, operator, backEnd) }
                }
            }
    }
}
