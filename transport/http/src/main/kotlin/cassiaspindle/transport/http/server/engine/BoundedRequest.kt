package cassiaspindle.transport.http.server.engine

import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RequestHead
import cassiaspindle.transport.relay.allValues
import cassiaspindle.transport.relay.firstValue
import io.ktor.http.Headers
import io.ktor.http.HttpMethod
import io.ktor.http.Parameters
import io.ktor.http.RequestConnectionPoint
import io.ktor.http.parseQueryString
import io.ktor.server.application.PipelineCall
import io.ktor.server.engine.BaseApplicationRequest
import io.ktor.server.request.RequestCookies
import io.ktor.utils.io.ByteReadChannel

private const val HTTP_PORT = 80
private const val UNKNOWN = "unknown"

/** The request of a [BoundedCall]; its body is read by [BoundedCall.readBody] alone. */
internal class BoundedRequest(call: PipelineCall, private val head: RequestHead) : BaseApplicationRequest(call) {
    private val queryText get() = head.target.substringAfter('?', missingDelimiterValue = "")

    override val engineHeaders: Headers = HeaderList(head.headers)

    override val engineReceiveChannel: ByteReadChannel = ByteReadChannel.Empty

    override val queryParameters: Parameters by lazy { parseQueryString(queryText) }

    override val rawQueryParameters: Parameters by lazy { parseQueryString(queryText, decode = false) }

    override val cookies: RequestCookies by lazy { RequestCookies(this) }

    override val local: RequestConnectionPoint = Endpoint(head)
}

/** The headers of a request where they are; they are not copied. */
private class HeaderList(private val headers: List<Header>) : Headers {
    override val caseInsensitiveName: Boolean get() = true

    override fun get(name: String): String? = headers.firstValue(name)

    override fun getAll(name: String): List<String>? = headers.allValues(name).ifEmpty { null }

    override fun names(): Set<String> = headers.mapTo(mutableSetOf()) { it.name.lowercase() }

    override fun entries(): Set<Map.Entry<String, List<String>>> =
        headers.groupBy({ it.name.lowercase() }, { it.value }).entries

    override fun isEmpty(): Boolean = headers.isEmpty()
}

/** The two ends of the connection; no route depends on their addresses. */
private class Endpoint(private val head: RequestHead) : RequestConnectionPoint {
    private val hostHeader get() = head.headers.firstValue("host") ?: UNKNOWN

    override val scheme: String get() = "http"
    override val version: String get() = "HTTP/1.1"
    override val uri: String get() = head.target
    override val method: HttpMethod get() = HttpMethod.parse(head.method)
    override val serverHost: String get() = hostHeader.substringBeforeLast(':')
    override val serverPort: Int get() = hostHeader.substringAfterLast(':').toIntOrNull() ?: HTTP_PORT
    override val localHost: String get() = UNKNOWN
    override val localPort: Int get() = 0
    override val localAddress: String get() = UNKNOWN
    override val remoteHost: String get() = UNKNOWN
    override val remotePort: Int get() = 0
    override val remoteAddress: String get() = UNKNOWN

    @Deprecated("Use serverHost", ReplaceWith("serverHost"))
    override val host: String get() = serverHost

    @Deprecated("Use serverPort", ReplaceWith("serverPort"))
    override val port: Int get() = serverPort
}
