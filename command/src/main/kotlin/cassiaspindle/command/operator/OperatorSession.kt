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
    val httpClient: HttpClient,
    val operatorClient: OperatorClient,
)

/** Reads the client settings at [path] and runs [block] with a session that uses them. */
internal fun <Value> withOperatorSession(
    path: String,
    block: suspend (OperatorSession) -> Result<Value, Failure>,
): Result<Value, Failure> = SettingsReader.read<ClientSettings>(Path.of(path)).flatMap { settings ->
    SettingsReader.readKey(Path.of(settings.operatorKeyFile)).map { key -> settings to key }
}.flatMap { (settings, key) ->
    newHttpClient().use { httpClient ->
        runBlocking {
            block(OperatorSession(settings, key, httpClient, OperatorClient(httpClient, settings.controls, key)))
        }
    }
}
