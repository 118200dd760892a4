package cassiaspindle.command.local

import cassiaspindle.core.time.Clock
import cassiaspindle.schema.PlainServiceDescription
import cassiaspindle.standin.announce.StandInSettings
import cassiaspindle.standin.application.StandInPlainService
import cassiaspindle.standin.model.FleetRecorder
import cassiaspindle.standin.runner.StandInRunner
import cassiaspindle.transport.http.client.AnnouncementClient
import io.ktor.client.HttpClient

private const val PLAIN_SERVICE_COUNT = 2
private const val CAPACITY = 256

/** The stand-in backend servers of an example, which announce themselves to [entryAddresses]. */
class StandInFleet(
    private val example: Example,
    httpClient: HttpClient,
    backEndKey: String,
    private val entryAddresses: List<String>,
) {
    private val announcementClient = AnnouncementClient(httpClient, backEndKey)

    /** Records what the stand-ins run. */
    val recorder = FleetRecorder()

    /** The runners. */
    val runners: List<StandInRunner> = example.runners.mapIndexed { index, description ->
        StandInRunner(settings("runner-$index", index), description, recorder, announcementClient)
    }

    /** The plain services. */
    val plainServices: List<StandInPlainService> = (0 until PLAIN_SERVICE_COUNT).map { index ->
        val description = PlainServiceDescription(example.application, example.calls)
        StandInPlainService(settings("${example.application}-$index", index), description, recorder, announcementClient)
    }

    /** Number of backend servers. */
    val size: Int get() = runners.size + plainServices.size

    /** Starts announcing all stand-ins. */
    fun start() {
        runners.forEach(StandInRunner::start)
        plainServices.forEach(StandInPlainService::start)
    }

    /** Stops all stand-ins without a leave notice. */
    fun close() {
        runners.forEach(StandInRunner::close)
        plainServices.forEach(StandInPlainService::close)
    }

    private fun settings(name: String, index: Int) = StandInSettings(
        name = name,
        incarnation = Clock.system.wallMilliseconds(),
        availabilityZone = example.availabilityZones[index % example.availabilityZones.size],
        capacity = CAPACITY,
        entryAddresses = entryAddresses,
    )
}
