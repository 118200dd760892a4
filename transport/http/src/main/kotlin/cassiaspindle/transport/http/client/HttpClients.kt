package cassiaspindle.transport.http.client

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.HttpResponseValidator
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.websocket.WebSockets
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.http.HttpHeaders

private const val CONNECT_TIMEOUT_MILLISECONDS = 1_000L

private const val MAXIMUM_CONNECTIONS = 4_096

/** Creates an HTTP client for callers, backend servers and operators; its owner closes it. */
fun newHttpClient(): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    install(WebSockets)
    HttpResponseValidator {
        validateResponse(::requireWellFormed)
        handleResponseException { cause, _ -> throw asConnectionProblem(cause) }
    }
    install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT_MILLISECONDS }
    engine {
        maxConnectionsCount = MAXIMUM_CONNECTIONS
        requestTimeout = 0
        endpoint {
            maxConnectionsPerRoute = MAXIMUM_CONNECTIONS
            connectTimeout = CONNECT_TIMEOUT_MILLISECONDS
            connectAttempts = 1
        }
    }
}

/** Sends [key] as the bearer key. */
fun HttpRequestBuilder.bearer(key: String) = header(HttpHeaders.Authorization, "Bearer $key")
