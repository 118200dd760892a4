package cassiaspindle.command.measure

import cassiaspindle.codec.Keys
import cassiaspindle.command.local.freePorts
import cassiaspindle.core.builder.serviceDocument
import cassiaspindle.core.concurrency.seededRandom
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.control.ControlDaemon
import cassiaspindle.daemon.control.ControlEnvironment
import cassiaspindle.schema.ControlAddress
import cassiaspindle.schema.ControlSettings
import cassiaspindle.schema.KeyFiles
import cassiaspindle.transport.http.client.OperatorClient
import cassiaspindle.transport.http.client.newHttpClient
import com.github.michaelbull.result.getOrThrow
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.nio.file.Files
import java.nio.file.Path

private const val SERVICE_COUNT = 100
private const val RESTART_BOUND_MILLISECONDS = 3_000.0
private const val FEW_CHANGES = 1_000
private const val MANY_CHANGES = 10_000

/** Measures the time until a single control replica answers a read after a start with 1,000 and 10,000 changes. */
internal fun measureRestart(options: MeasurementOptions, print: RowPrinter): MeasurementResult {
    val folder = Files.createTempDirectory("cassiaspindle-restart")
    val (peerPort, operatorPort) = freePorts(2)
    val address = ControlAddress("control-0", "127.0.0.1:$peerPort", "127.0.0.1:$operatorPort")
    return newHttpClient().use { httpClient ->
        val operatorClient = OperatorClient(httpClient, listOf(address), KEYS.operator)
        var appliedChanges = 0
        val times = listOf(FEW_CHANGES, MANY_CHANGES).map { changes ->
            startDaemon(folder, address, options).use { applyUpTo(operatorClient, appliedChanges, changes) }
            appliedChanges = changes
            val startMilliseconds = Clock.system.monotonicMilliseconds()
            startDaemon(folder, address, options).use { daemon ->
                runBlocking { operatorClient.show("service-0") }
                val milliseconds = Clock.system.monotonicMilliseconds() - startMilliseconds
                print("changes=$changes start_milliseconds=$milliseconds log_bytes=${daemon.logBytes}")
                milliseconds
            }
        }
        folder.toFile().deleteRecursively()
        MeasurementResult.atMost(times.last().toDouble(), "milliseconds", RESTART_BOUND_MILLISECONDS)
    }
}

private val KEYS = Keys("system", "operator", "backend")

private fun applyUpTo(client: OperatorClient, appliedChanges: Int, changes: Int) = runBlocking(Dispatchers.Default) {
    coroutineScope {
        repeat(SERVICE_COUNT) { service ->
            launch {
                for (version in appliedChanges / SERVICE_COUNT + 1..changes / SERVICE_COUNT) {
                    client.apply(newDocument(service, version)).getOrThrow { IllegalStateException(it.toString()) }
                }
            }
        }
    }
}

private fun newDocument(service: Int, version: Int) = serviceDocument("service-$service", version.toLong()) {
    call("explain", application = "line-app")
}

private fun startDaemon(folder: Path, address: ControlAddress, options: MeasurementOptions): ControlDaemon {
    val settings = ControlSettings(
        name = address.name,
        availabilityZone = "howrah",
        dataFolder = folder.toString(),
        replicas = listOf(address),
        keyFiles = KeyFiles("unused", "unused", "unused"),
    )
    val environment = ControlEnvironment(KEYS, Clock.system, seededRandom(options.seed), onFatal = {})
    return ControlDaemon.start(settings, environment).getOrThrow { IllegalStateException(it.toString()) }
}

private inline fun <Value> ControlDaemon.use(block: (ControlDaemon) -> Value): Value = try {
    block(this)
} finally {
    close()
}
