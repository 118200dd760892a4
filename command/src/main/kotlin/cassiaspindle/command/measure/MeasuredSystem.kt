package cassiaspindle.command.measure

import cassiaspindle.command.local.Example
import cassiaspindle.command.local.LocalSystem
import cassiaspindle.core.concurrency.seededRandom
import cassiaspindle.transport.http.client.CallerClient
import cassiaspindle.transport.http.client.newHttpClient
import com.github.michaelbull.result.getOrThrow
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking

private const val DEADLINE_MILLISECONDS = 30_000L

/** A local system under measurement, with a client for its callers. */
internal data class MeasuredSystem(val system: LocalSystem, val example: Example, val callerClient: CallerClient)

/** Runs [block] on a local system whose stand-in runners simulate no computing time. */
internal fun <Value> withMeasuredSystem(options: MeasurementOptions, block: suspend (MeasuredSystem) -> Value): Value {
    val original = checkNotNull(Example.named("hooghly"))
    val example = original.copy(runners = original.runners.map { it.copy(layerMicroseconds = 0) })
    val system = LocalSystem(example, seededRandom(options.seed))
    val httpClient = newHttpClient()
    return try {
        runBlocking(Dispatchers.Default) {
            system.start().getOrThrow { IllegalStateException(it.toString()) }
            block(MeasuredSystem(system, example, CallerClient(httpClient, example.accountKey, DEADLINE_MILLISECONDS)))
        }
    } finally {
        httpClient.close()
        system.close()
    }
}
