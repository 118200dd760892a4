package cassiaspindle.command.operator

import cassiaspindle.codec.encodePrettyJson
import cassiaspindle.command.CommandOutcomeHolder
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

private const val DEFAULT_CONTROLS = 3
private const val DEFAULT_ENTRIES = 9
private const val KEY_BYTES = 16

/** `settings example`: writes settings, keys and service documents for a trial on one machine. */
@OptIn(ExperimentalCli::class)
internal class SettingsExampleCommand(outcome: CommandOutcomeHolder) :
    NestedCommand("example", "Write the settings of an example for a trial on one machine", outcome) {
    private val folder by argument(ArgType.String, description = "The folder, which is created")
    private val example by option(ArgType.Choice(listOf("hooghly", "office"), { it }), "example", description = "Which")
        .required()
    private val controls by option(ArgType.Int, "controls", description = "Number of control replicas")
        .default(DEFAULT_CONTROLS)
    private val entries by option(ArgType.Int, "entries", description = "Number of entry VMs").default(DEFAULT_ENTRIES)

    override fun execute() {
        val path = Path.of(folder)
        Files.createDirectories(path)
        write(path, checkNotNull(Example.named(example)))
    }

    private fun write(path: Path, chosen: Example) {
        val keyFiles = KeyFiles(key(path, "system"), key(path, "operator"), key(path, "backend"))
        val ports = freePorts(2 * controls + entries).iterator()
        val replicas = (0 until controls).map { index ->
            ControlAddress("control-$index", "127.0.0.1:${ports.next()}", "127.0.0.1:${ports.next()}")
        }
        replicas.forEachIndexed { index, replica ->
            val zone = chosen.availabilityZones[index % chosen.availabilityZones.size]
            val data = path.resolve("data-${replica.name}").toString()
            save(path, replica.name, serializer(), ControlSettings(replica.name, zone, data, replicas, keyFiles))
        }
        for (index in 0 until entries) {
            val zone = chosen.availabilityZones[index % chosen.availabilityZones.size]
            val address = "127.0.0.1:${ports.next()}"
            save(path, "entry-$index", serializer(), EntrySettings("entry-$index", zone, address, replicas, keyFiles))
        }
        save(path, "client", serializer(), ClientSettings(replicas, keyFiles.operator))
        chosen.services.forEach { service ->
            exampleDocument(chosen, service).onSuccess { save(path, service, serializer(), it) }
        }
    }

    private fun key(path: Path, name: String): String {
        val file = path.resolve("$name.key")
        val bytes = ByteArray(KEY_BYTES).also(SecureRandom()::nextBytes)
        Files.writeString(file, HexFormat.of().formatHex(bytes))
        return file.toString()
    }

    private fun <Value> save(path: Path, name: String, strategy: SerializationStrategy<Value>, value: Value) {
        val file = path.resolve("$name.json")
        Files.writeString(file, encodePrettyJson(strategy, value) + "\n")
        println("file=$file")
    }
}
