package cassiaspindle.command.local

import cassiaspindle.codec.Keys
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
import cassiaspindle.standin.application.StandInPlainService
import cassiaspindle.standin.model.FleetRecorder
import cassiaspindle.standin.runner.StandInRunner
import cassiaspindle.transport.http.client.OperatorClient
import cassiaspindle.transport.http.client.newHttpClient
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrThrow
import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger
import java.nio.file.Files
import java.nio.file.Path

private const val CONTROL_COUNT = 3
private const val ENTRY_COUNT = 3
private const val READY_CHECK_INTERVAL_MILLISECONDS = 50L
private const val MAXIMUM_READY_CHECKS = 400
private const val HOST = "127.0.0.1"

/** Control replicas, entry VMs and stand-ins in one process, which communicate over sockets on free ports. */
class LocalSystem(
    private val example: Example,
    private val random: RandomSource,
    /** Overrides settings of the entry VMs. */
    private val overrideSettings: (EntrySettings) -> EntrySettings = { it },
) {
    private val clock = Clock.system
    private val dataFolder: Path = Files.createTempDirectory("cassiaspindle-local")
    private val keys = Keys("local-system-key", "local-operator-key", "local-backend-key")
    private val httpClient = newHttpClient()
    private val controlAddresses = newControlAddresses()

    /** Control replicas by name. */
    val controls: MutableMap<String, ControlDaemon> =
        controlAddresses.associate { it.name to startControl(it) }.toMutableMap()

    /** The entry VMs. */
    val entries: List<EntryDaemon> = (0 until ENTRY_COUNT).map(::startEntry)
    private val fleet = StandInFleet(example, httpClient, keys.backEnd, entries.map(EntryDaemon::address))

    /** Records what the stand-ins run. */
    val recorder: FleetRecorder get() = fleet.recorder

    /** The runners. */
    val runners: List<StandInRunner> get() = fleet.runners

    /** The plain services. */
    val plainServices: List<StandInPlainService> get() = fleet.plainServices

    /** Client for the operator API of the control replicas. */
    val operatorClient = OperatorClient(httpClient, controlAddresses, keys.operator)

    /** Starts the entry VMs and stand-ins, applies the example's documents and waits until every entry VM is ready. */
    suspend fun start(): Result<Unit, Failure> {
        entries.forEach(EntryDaemon::start)
        fleet.start()
        return applyDocuments(example, operatorClient).flatMap { awaitReady() }
    }

    /** Restarts the control replica [name] after it was closed. */
    fun restartControl(name: String) {
        controls[name] = startControl(controlAddresses.first { it.name == name })
    }

    /** Stops all daemons and stand-ins and deletes their data. */
    fun close() {
        fleet.close()
        entries.forEach(EntryDaemon::close)
        controls.values.forEach(ControlDaemon::close)
        httpClient.close()
        dataFolder.toFile().deleteRecursively()
    }

    private suspend fun awaitReady(): Result<Unit, Failure> {
        repeat(MAXIMUM_READY_CHECKS) {
            if (entries.all { it.isReady && it.usableBackEnds.size == fleet.size }) return Ok(Unit)
            delay(READY_CHECK_INTERVAL_MILLISECONDS)
        }
        return Err(Failure(ResultCode.LOCAL_RUN_FAILED, "the system did not become ready"))
    }

    private fun newControlAddresses(): List<ControlAddress> {
        val ports = freePorts(2 * CONTROL_COUNT).iterator()
        return (0 until CONTROL_COUNT).map { index ->
            ControlAddress("control-$index", "$HOST:${ports.next()}", "$HOST:${ports.next()}")
        }
    }

    private fun startControl(address: ControlAddress): ControlDaemon {
        val settings = ControlSettings(
            name = address.name,
            availabilityZone = example.availabilityZones.first(),
            dataFolder = dataFolder.resolve(address.name).toString(),
            replicas = controlAddresses,
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
            controls = controlAddresses,
            keyFiles = KeyFiles("unused", "unused", "unused"),
        )
        return EntryDaemon(overrideSettings(settings), EntryEnvironment(keys, clock, random))
    }
}
