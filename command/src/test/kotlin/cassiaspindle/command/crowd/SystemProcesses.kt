package cassiaspindle.command.crowd

import cassiaspindle.codec.encodePrettyJson
import cassiaspindle.command.local.Example
import cassiaspindle.command.local.StandInFleet
import cassiaspindle.command.local.applyDocuments
import cassiaspindle.schema.ControlAddress
import cassiaspindle.schema.ControlSettings
import cassiaspindle.schema.EntrySettings
import cassiaspindle.schema.KeyFiles
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.standin.crowd.CrowdTarget
import cassiaspindle.standin.crowd.listenPorts
import cassiaspindle.transport.http.client.CallerClient
import cassiaspindle.transport.http.client.OperatorClient
import cassiaspindle.transport.http.client.newHttpClient
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.serializer
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * A control replica and an entry VM as processes of their own on loopback, with the options of `bin/cassiaspindle`, and
 * stand-ins in this process. Both processes end as soon as an allocation fails, so that a process that lives has never
 * run out of memory.
 */
internal class SystemProcesses : AutoCloseable {
    private val example = checkNotNull(Example.named("hooghly"))
    private val zone = example.availabilityZones.first()
    private val folder = Files.createTempDirectory("system-processes")
    private val ports = listenPorts(PORTS)
    private val replica = ControlAddress("control-0", "127.0.0.1:${ports[0]}", "127.0.0.1:${ports[1]}")
    private val keyFiles = KeyFiles(writeKey("system"), writeKey(OPERATOR), writeKey(BACK_END))
    private val httpClient = newHttpClient()
    private val operatorClient = OperatorClient(httpClient, listOf(replica), OPERATOR)
    private val callerClient = CallerClient(httpClient, example.accountKey, DEADLINE_MILLISECONDS)

    /** Host and port for callers, backend servers and operators of the entry VM. */
    val entryAddress: String = "127.0.0.1:${ports[2]}"

    /** Host and port of the control replica for the system's own processes. */
    val peerAddress: String = replica.peerAddress

    /** Host and port of the control replica for operators. */
    val operatorAddress: String = replica.operatorAddress

    /** A key that callers of the entry VM may use. */
    val accountKey: String = example.accountKey

    /** Name of a service. */
    val service: String = example.readService
    private val control = start("control", serializer(), controlSettings())
    private val entry = start("entry", serializer(), entrySettings())
    private val fleet = StandInFleet(example, httpClient, BACK_END, listOf(entryAddress)).apply { start() }

    /** The control replica; an ordinary request is one of an operator. */
    val controlTarget = CrowdTarget(
        control,
        setOf(ports[0], ports[1]),
        { isAnswered { operatorClient.status(replica).isOk } },
        { logEnd("control") },
    )

    /** The entry VM; an ordinary request is one of a caller with a key. */
    val entryTarget = CrowdTarget(entry, setOf(ports[2]), ::answersCaller) { logEnd("entry") }

    init {
        check(isAnswered { applyDocuments(example, operatorClient).isOk }) { logEnd("control") }
        check(answersCaller()) { logEnd("entry") }
    }

    override fun close() {
        fleet.close()
        listOf(entry, control).forEach { it.destroyForcibly().waitFor(END_SECONDS, TimeUnit.SECONDS) }
        httpClient.close()
        folder.toFile().deleteRecursively()
    }

    private fun answersCaller(): Boolean =
        isAnswered { callerClient.request(entryAddress, example.readService, ServiceRequest("status")).isOk }

    private fun isAnswered(request: suspend () -> Boolean): Boolean = runBlocking {
        (1..TRIES).any {
            request().also { isAnswered -> if (!isAnswered) delay(PAUSE_MILLISECONDS) }
        }
    }

    private fun controlSettings() =
        ControlSettings(replica.name, zone, folder.resolve("data").toString(), listOf(replica), keyFiles)

    private fun entrySettings() = EntrySettings("entry-0", zone, entryAddress, listOf(replica), keyFiles)

    private fun writeKey(name: String): String =
        folder.resolve("$name.key").also { Files.writeString(it, name) }.toString()

    private fun <Settings> start(kind: String, strategy: SerializationStrategy<Settings>, settings: Settings): Process {
        val file = folder.resolve("$kind.json")
        Files.writeString(file, encodePrettyJson(strategy, settings))
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val program = listOf("-cp", System.getProperty("java.class.path"), "cassiaspindle.command.MainKt")
        return ProcessBuilder(listOf(java) + launcherOptions() + program + listOf(kind, "--settings", "$file"))
            .redirectErrorStream(true)
            .redirectOutput(logFile(kind).toFile())
            .start()
    }

    private fun logEnd(kind: String): String = Files.readString(logFile(kind)).takeLast(LOG_CHARACTERS)

    private fun logFile(kind: String): Path = folder.resolve("$kind.log")

    private companion object {
        const val OPERATOR = "operator"
        const val BACK_END = "back-end"
        const val PORTS = 3
        const val DEADLINE_MILLISECONDS = 5_000L
        const val TRIES = 100
        const val PAUSE_MILLISECONDS = 100L
        const val END_SECONDS = 10L
        const val LOG_CHARACTERS = 1_500
        val PLACEHOLDERS = mapOf("\$processors" to "4", "\${heap}" to "48")

        /** The options of the launcher with its defaults, and the end at the first failed allocation. */
        fun launcherOptions(): List<String> {
            val script = Files.readString(Path.of("..", "bin", "cassiaspindle"))
            val text = script.substringAfter("exec java").substringBefore("-cp").replace("\\\n", " ").replace("\"", "")
            val options = PLACEHOLDERS.entries.fold(text) { filled, (name, value) -> filled.replace(name, value) }
            return options.trim().split(Regex("\\s+")) + "-XX:+ExitOnOutOfMemoryError"
        }
    }
}
