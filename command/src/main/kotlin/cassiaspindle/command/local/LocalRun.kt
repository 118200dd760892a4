package cassiaspindle.command.local

import cassiaspindle.core.concurrency.seededRandom
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.entry.EntryDaemon
import cassiaspindle.transport.http.client.newHttpClient
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking

/** Starts an example, runs a load against it, and prints the report. */
internal class LocalRun(private val options: LoadOptions, private val print: (String) -> Unit) {
    private val example = options.example

    /** Runs the example; returns [ResultCode.LOCAL_RUN_FAILED] unless [LoadRunReport.isComplete] holds. */
    fun run(): Result<Unit, Failure> {
        val system = LocalSystem(example, seededRandom(options.seed.toLong()))
        return try {
            runBlocking(Dispatchers.Default) { system.start().flatMap { runLoad(system) } }
        } finally {
            system.close()
        }
    }

    private suspend fun runLoad(system: LocalSystem): Result<Unit, Failure> {
        val addresses = system.entries.map(EntryDaemon::address)
        val details = "entries=${addresses.joinToString(",")} key=${example.accountKey}"
        print("event=ready example=${example.name} seed=${options.seed} $details")
        val report = newHttpClient().use { httpClient ->
            LoadRun(options, LoadTarget(addresses, system.recorder), httpClient, print).run()
        }
        report.layerViolations.forEach { print("violation=layer $it") }
        print(report.toString())
        print(if (report.isComplete) "result=ok" else "result=failed")
        return if (report.isComplete) Ok(Unit) else Err(Failure(ResultCode.LOCAL_RUN_FAILED))
    }
}
