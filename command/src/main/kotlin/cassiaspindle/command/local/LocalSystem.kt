package cassiaspindle.command.local

import cassiaspindle.codec.Keys
import cassiaspindle.codec.SettingsReader
import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.control.ControlDaemon
import cassiaspindle.daemon.control.ControlEnvironment
import cassiaspindle.daemon.entry.EntryDaemon
import cassiaspindle.daemon.entry.EntryEnvironment
import cassiaspindle.schema.ControlAddress
import cassiaspindle.schema.ControlSettings
import cassiaspindle.schema.EntrySettings
import cassiaspindle.schema.KeyFiles
import cassiaspindle.schema.PlainServiceDescription
import cassiaspindle.standin.application.StandInApplication
import cassiaspindle.standin.model.FleetRecorder
import cassiaspindle.standin.runner.StandInRunner
import cassiaspindle.standin.runner.StandInSettings
import cassiaspindle.transport.http.client.AnnouncementClient
import cassiaspindle.transport.http.client.OperatorClient
import cassiaspindle.transport.http.client.newHttpClient
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrThrow
import com.github.michaelbull.result.map
import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

private const val CONTROLS = 3
private const val ENTRIES = 3
private const val APPLICATIONS = 2
private const val RUNNER_CAPACITY = 32
private const val READY_CHECK_MILLISECONDS = 50L
private const val READY_CHECKS = 400
private const val HOST = "127.0.0.1"

/** Both daemons and the stand-ins in one process, over real sockets on ports that the system picks. */
class LocalSystem(
    private val example: Example,
    private val random: RandomSource,
    /** Changes the settings of the entry VMs. */
    private val adjust: (EntrySettings) -> EntrySettings = { it },
) {
    private val clock = Clock.system
    private val folder: Path = Files.createTempDirectory("cassiaspindle-local")
    private val keys = Keys("local-system-key", "local-operator-key", "local-backend-key")
    private val client = newHttpClient()
    private val addresses = controlAddresses()
    private val controls = addresses.map { startControl(it) }

    /** The entry VMs. */
    val entries: List<EntryDaemon> = (0 until ENTRIES).map(::startEntry)

    /** What the stand-ins have run. */
    val recorder = FleetRecorder()
    private val announcements = AnnouncementClient(client, keys.backEnd)

    /** The runners. */
    val runners: List<StandInRunner> = example.runners.mapIndexed { index, description ->
        StandInRunner(standIn("runner-$index", index, RUNNER_CAPACITY), description, recorder, announcements)
    }

    /** The plain services. */
    val applications: List<StandInApplication> = (0 until APPLICATIONS).map { index ->
        val description = PlainServiceDescription(example.application, example.calls)
        val name = "${example.application}-$index"
        StandInApplication(standIn(name, index, RUNNER_CAPACITY), description, recorder, announcements)
    }

    /** The operators' side of the control replicas. */
    val operators = OperatorClient(client, addresses, keys.operator)

    /** Applies the example's documents and waits until every entry VM can serve. */
    suspend fun start(): Result<Unit, Failure> {
        entries.forEach(EntryDaemon::start)
        runners.forEach(StandInRunner::start)
        applications.forEach(StandInApplication::start)
        for (service in example.services) {
            val applied = document(service).flatMap { operators.apply(it) }.map { }
            if (applied.isErr) return applied
        }
        return awaitReady()
    }

    /** Stops everything. */
    fun close() {
        runners.forEach(StandInRunner::close)
        applications.forEach(StandInApplication::close)
        entries.forEach(EntryDaemon::close)
        controls.forEach(ControlDaemon::close)
        client.close()
        folder.toFile().deleteRecursively()
    }

    private fun document(service: String) =
        SettingsReader.document(resource("/examples/${example.name}/$service.json"))

    private fun resource(path: String): String =
        checkNotNull(javaClass.getResource(path)) { "$path is missing" }.readText()

    private suspend fun awaitReady(): Result<Unit, Failure> {
        val expected = runners.size + applications.size
        repeat(READY_CHECKS) {
            if (entries.all { it.isReady && it.usableBackEnds.size == expected }) return Ok(Unit)
            delay(READY_CHECK_MILLISECONDS)
        }
        return Err(Failure(ResultCode.LOCAL_RUN_FAILED, "the system did not become ready"))
    }

    private fun controlAddresses(): List<ControlAddress> {
        val ports = freePorts(2 * CONTROLS).iterator()
        return (0 until CONTROLS).map { index ->
            ControlAddress("control-$index", "$HOST:${ports.next()}", "$HOST:${ports.next()}")
        }
    }

    private fun startControl(address: ControlAddress): ControlDaemon {
        val settings = ControlSettings(
            name = address.name,
            availabilityZone = example.availabilityZones.first(),
            dataFolder = folder.resolve(address.name).toString(),
            replicas = addresses,
            keyFiles = KeyFiles("unused", "unused", "unused"),
        )
        val environment = ControlEnvironment(keys, clock, random) { failure ->
            Logger.error { "event=control_failed name=${address.name} code=${failure.code.number}" }
        }
        return ControlDaemon.start(settings, environment).getOrThrow { IllegalStateException(it.toString()) }
    }

    private fun startEntry(index: Int): EntryDaemon {
        val settings = EntrySettings(
            name = "entry-$index",
            availabilityZone = example.availabilityZones[index % example.availabilityZones.size],
            listenAddress = "$HOST:0",
            controls = addresses,
            keyFiles = KeyFiles("unused", "unused", "unused"),
        )
        return EntryDaemon(adjust(settings), EntryEnvironment(keys, clock, random))
    }

    private fun standIn(name: String, index: Int, capacity: Int) = StandInSettings(
        name = name,
        incarnation = clock.wallMilliseconds(),
        availabilityZone = example.availabilityZones[index % example.availabilityZones.size],
        capacity = capacity,
        entryAddresses = entries.map(EntryDaemon::address),
    )

    private fun freePorts(count: Int): List<Int> {
        val sockets = List(count) { ServerSocket(0) }
        return sockets.map { socket -> socket.use { it.localPort } }
    }
}
