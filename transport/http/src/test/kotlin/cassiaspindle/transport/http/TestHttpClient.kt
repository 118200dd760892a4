package cassiaspindle.transport.http

import cassiaspindle.codec.decodeJson
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ErrorAnswer
import com.github.michaelbull.result.get
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

/** One request of a table test: what is sent, and the code that must come back. */
data class RequestCase(
    val path: String,
    val body: String,
    val code: ResultCode,
    val method: String = "POST",
    val bearer: String? = "key",
    val headers: List<String> = emptyList(),
)

/** Sends attempts to a server on this machine. */
class TestHttpClient(private val port: () -> Int) {
    private val client = HttpClient.newHttpClient()

    fun send(attempt: RequestCase): HttpResponse<String> {
        val builder = HttpRequest.newBuilder(URI("http://127.0.0.1:${port()}${attempt.path}"))
            .method(attempt.method, HttpRequest.BodyPublishers.ofString(attempt.body))
        attempt.bearer?.let { builder.header("Authorization", "Bearer $it") }
        attempt.headers.chunked(2).forEach { (name, value) -> builder.header(name, value) }
        return client.send(builder.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** The error that comes back, or null where the answer is none. */
    fun error(attempt: RequestCase): ErrorAnswer? = decodeJson<ErrorAnswer>(send(attempt).body()).get()
}
