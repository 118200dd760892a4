package cassiaspindle.command.operator

import cassiaspindle.codec.encodePrettyJson
import cassiaspindle.command.ExitStatusHolder
import cassiaspindle.command.NestedCommand
import cassiaspindle.command.local.Example
import cassiaspindle.command.local.exampleDocument
import cassiaspindle.command.local.freePorts
import cassiaspindle.schema.ClientSettings
import cassiaspindle.schema.ControlAddress
import cassiaspindle.schema.ControlSettings
import cassiaspindle.schema.EntrySettings
import cassiaspindle.schema.KeyFiles
import com.github.michaelbull.result.onSuccess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.serializer
import java.nio.file.Files
import java.nio.file.Path
import java.security.SecureRandom
import java.util.HexFormat

private const val DEFAULT_CONTROL_COUNT = 3
private const val DEFAULT_ENTRY_COUNT = 9
private const val KEY_BYTES = 16

/** `settings example`: writes settings, keys and service documents for a trial on one machine. */
@OptIn(ExperimentalCli::class)
internal class SettingsExampleCommand(exitStatus: ExitStatusHolder) :
    NestedCommand("example", "Write the settings of an example for a trial on one machine", exitStatus) {
    private val folder by argument(ArgType.String, description = "The folder, which is created")
    private val example by option(ArgType.Choice(listOf("hooghly", "office"), { it }), "example", description = "Which")
        .required()
    private val controls by option(ArgType.Int, "controls", description = "Number of control replicas")
        .default(DEFAULT_CONTROL_COUNT)
    private val entries by option(ArgType.Int, "entries", description = "Number of entry VMs")
        .default(DEFAULT_ENTRY_COUNT)

    override fun execute() {
        val path = Path.of(folder)
        Files.createDirectories(path)
        writeExample(path, checkNotNull(Example.named(example)))
    }

    private fun writeExample(path: Path, selected: Example) {
        val keyFiles = KeyFiles(writeKey(path, "system"), writeKey(path, "operator"), writeKey(path, "backend"))
        val ports = freePorts(2 * controls + entries).iterator()
        val replicas = (0 until controls).map { index ->
            ControlAddress("control-$index", "127.0.0.1:${ports.next()}", "127.0.0.1:${ports.next()}")
        }
        replicas.forEachIndexed { index, replica ->
            val zone = selected.availabilityZones[index % selected.availabilityZones.size]
            val data = path.resolve("data-${replica.name}").toString()
            writeJson(path, replica.name, serializer(), ControlSettings(replica.name, zone, data, replicas, keyFiles))
        }
        for (index in 0 until entries) {
            val zone = selected.availabilityZones[index % selected.availabilityZones.size]
            val address = "127.0.0.1:${ports.next()}"
            val name = "entry-$index"
            writeJson(path, name, serializer(), EntrySettings(name, zone, address, replicas, keyFiles))
        }
        writeJson(path, "client", serializer(), ClientSettings(replicas, keyFiles.operator))
        selected.services.forEach { service ->
            exampleDocument(selected, service).onSuccess { writeJson(path, service, serializer(), it) }
        }
    }

    private fun writeKey(path: Path, name: String): String {
        val file = path.resolve("$name.key")
        val bytes = ByteArray(KEY_BYTES).also(SecureRandom()::nextBytes)
        Files.writeString(file, HexFormat.of().formatHex(bytes))
        return file.toString()
    }

    private fun <Value> writeJson(path: Path, name: String, strategy: SerializationStrategy<Value>, value: Value) {
        val file = path.resolve("$name.json")
        Files.writeString(file, encodePrettyJson(strategy, value) + "\n")
        println("file=$file")
    }
}
