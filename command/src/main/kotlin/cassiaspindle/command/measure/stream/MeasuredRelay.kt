package cassiaspindle.command.measure.stream

import cassiaspindle.core.concurrency.seededRandom
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.relay.RelayDaemon
import cassiaspindle.daemon.relay.RelayEnvironment
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.schema.RelaySettings
import cassiaspindle.transport.peer.limitSocketThreads
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CountDownLatch

/** Availability zone of the measured process and of its runner. */
internal const val MEASURED_ZONE = "zone"

/** Number of ports that a measured process listens on. */
internal const val MEASURED_PORTS = 5

/** Announcements are not repeated during a measurement. */
private const val HEARTBEAT_MILLISECONDS = 3_600_000L

/** Runs a relaying process until it is ended. The arguments are the data folder and the ports. */
fun main(arguments: Array<String>) {
    limitSocketThreads()
    val addresses = arguments.drop(1).map { "127.0.0.1:$it" }
    val settings = RelaySettings(
        name = "measured",
        availabilityZone = MEASURED_ZONE,
        callerAddress = addresses[0],
        controlAddress = addresses[1],
        readyAddress = addresses[2],
        discoveryAddress = addresses[3],
        peerAddress = addresses.last(),
        seedPeerAddresses = listOf(addresses.last()),
        foundsSystem = true,
        dataFolder = arguments.first(),
        heartbeatMilliseconds = HEARTBEAT_MILLISECONDS,
    )
    val log = EventLog(PrintStream(OutputStream.nullOutputStream()), Clock.system.wallMilliseconds)
    RelayDaemon.start(settings, RelayEnvironment(MeasuredProtocol.protocol, Clock.system, seededRandom(1), log))
    // All threads of the daemon end with the main thread.
    CountDownLatch(1).await()
}
