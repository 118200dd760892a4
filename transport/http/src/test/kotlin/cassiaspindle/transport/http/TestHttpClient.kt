package cassiaspindle.transport.http

import cassiaspindle.codec.decodeJson
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ErrorAnswer
import com.github.michaelbull.result.get
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

/** A request of a table-driven test and the result code that it expects. */
data class RequestCase(
    val path: String,
    val body: String,
    val code: ResultCode,
    val method: String = "POST",
    val bearer: String? = "key",
    val headers: List<String> = emptyList(),
)

/** Sends requests to a server on loopback. */
class TestHttpClient(private val port: () -> Int) {
    private val client = HttpClient.newHttpClient()

    fun send(case: RequestCase): HttpResponse<String> {
        val builder = HttpRequest.newBuilder(URI("http://127.0.0.1:${port()}${case.path}"))
            .method(case.method, HttpRequest.BodyPublishers.ofString(case.body))
        case.bearer?.let { builder.header("Authorization", "Bearer $it") }
        case.headers.chunked(2).forEach { (name, value) -> builder.header(name, value) }
        return client.send(builder.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** Sends [case] and returns the error, or null if the response is none. */
    fun error(case: RequestCase): ErrorAnswer? = decodeJson<ErrorAnswer>(send(case).body()).get()
}
