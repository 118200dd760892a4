package cassiaspindle.command.daemon

import cassiaspindle.codec.Keys
import cassiaspindle.codec.SettingsReader
import cassiaspindle.command.ExitStatusHolder
import cassiaspindle.command.ProgramCommand
import cassiaspindle.core.concurrency.processRandom
import cassiaspindle.core.result.Failure
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.control.ControlDaemon
import cassiaspindle.daemon.control.ControlEnvironment
import cassiaspindle.daemon.entry.EntryDaemon
import cassiaspindle.daemon.entry.EntryEnvironment
import cassiaspindle.schema.ControlSettings
import cassiaspindle.schema.EntrySettings
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onSuccess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.required
import org.tinylog.configuration.Configuration
import org.tinylog.kotlin.Logger
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

private const val DRAIN_TIMEOUT_MILLISECONDS = 60_000L

/** `entry`: runs an entry VM. */
@OptIn(ExperimentalCli::class)
internal class EntryCommand(private val exitStatus: ExitStatusHolder) :
    ProgramCommand("entry", "Run an entry VM") {
    private val settings by option(ArgType.String, "settings", description = "Settings file").required()

    override fun execute() {
        setLogLevel(settings)
        val result = SettingsReader.read<EntrySettings>(Path.of(settings)).flatMap { parsed ->
            Keys.read(parsed.keyFiles).map { keys ->
                EntryDaemon(parsed, EntryEnvironment(keys, Clock.system, processRandom()))
            }
        }
        exitStatus.record(result)
        result.onSuccess(::serve)
    }

    /** Serves until the JVM shuts down, then drains the requests in flight and closes the daemon. */
    private fun serve(daemon: EntryDaemon) {
        daemon.start()
        awaitShutdown {
            daemon.drain()
            daemon.awaitDrained(DRAIN_TIMEOUT_MILLISECONDS)
            daemon.close()
        }
    }
}

/** `control`: runs a control replica. */
@OptIn(ExperimentalCli::class)
internal class ControlCommand(private val exitStatus: ExitStatusHolder) :
    ProgramCommand("control", "Run a control replica") {
    private val settings by option(ArgType.String, "settings", description = "Settings file").required()

    override fun execute() {
        setLogLevel(settings)
        val result = SettingsReader.read<ControlSettings>(Path.of(settings)).flatMap { parsed ->
            Keys.read(parsed.keyFiles).flatMap { keys ->
                ControlDaemon.start(parsed, ControlEnvironment(keys, Clock.system, processRandom(), ::haltAfterFailure))
            }
        }
        exitStatus.record(result)
        result.onSuccess { daemon -> awaitShutdown(daemon::close) }
    }

    /** Halts without shutdown hooks: after a failed sync, the state in memory may not be durable. */
    private fun haltAfterFailure(failure: Failure) {
        val code = "code=${failure.code.number} name=${failure.code}"
        Logger.error { "event=control_failed $code detail=\"${failure.detail}\"" }
        Runtime.getRuntime().halt(1)
    }
}

/** Blocks until the JVM shuts down, then runs [stop] in a shutdown hook. */
private fun awaitShutdown(stop: () -> Unit) {
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        thread(start = false, name = "shutdown") {
            stop()
            stopped.countDown()
        },
    )
    stopped.await()
}

private fun setLogLevel(settings: String) =
    Configuration.set("level", SettingsReader.readLogLevel(Path.of(settings)).name.lowercase())
