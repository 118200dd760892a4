package cassiaspindle.command.operator

import cassiaspindle.codec.SettingsReader
import cassiaspindle.core.result.Failure
import cassiaspindle.schema.ClientSettings
import cassiaspindle.transport.http.client.OperatorClient
import cassiaspindle.transport.http.client.newHttpClient
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import io.ktor.client.HttpClient
import kotlinx.coroutines.runBlocking
import java.nio.file.Path

/** Settings, key and clients of an operator's command. */
internal data class OperatorSession(
    val settings: ClientSettings,
    val key: String,
    val http: HttpClient,
    val client: OperatorClient,
)

/** Reads the client settings at [path] and runs [work] with a session that uses them. */
internal fun <Value> withOperator(
    path: String,
    work: suspend (OperatorSession) -> Result<Value, Failure>,
): Result<Value, Failure> = SettingsReader.read<ClientSettings>(Path.of(path)).flatMap { settings ->
    SettingsReader.readKey(Path.of(settings.operatorKeyFile)).map { key -> settings to key }
}.flatMap { (settings, key) ->
    newHttpClient().use { http ->
        runBlocking { work(OperatorSession(settings, key, http, OperatorClient(http, settings.controls, key))) }
    }
}
