package cassiaspindle.transport.relay

import io.ktor.http.cio.HttpHeadersMap

data class Header(val name: String, val value: String)

/** The request line and headers of a request. */
data class RequestHead(val method: String, val target: String, val headers: List<Header>)

/** A request whose body is held in memory. */
data class BufferedRequest(val head: RequestHead, val body: ByteArray) {
    override fun equals(other: Any?): Boolean =
        other is BufferedRequest && head == other.head && body.contentEquals(other.body)

    override fun hashCode(): Int = head.hashCode() * HASH_FACTOR + body.contentHashCode()

    private companion object {
        const val HASH_FACTOR = 31
    }
}

/** The status line and headers of a response. */
data class ResponseHead(val status: Int, val reason: String, val headers: List<Header>)

/** A response whose body is held in memory. */
class BufferedResponse(
    val head: ResponseHead,
    val body: ByteArray,
    /** Whether the response stated where its body ends, and did not end with its connection. */
    val isDelimited: Boolean = true,
)

/** The first value of the header [name], or null. */
fun List<Header>.firstValue(name: String): String? = firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

/** All values of the header [name]. */
fun List<Header>.allValues(name: String): List<String> =
    filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

/** The headers except those in [names], which are in lower case. */
fun List<Header>.without(names: Set<String>): List<Header> = filter { it.name.lowercase() !in names }

/** Names of hop-by-hop headers, in lower case. */
val HOP_BY_HOP_HEADERS = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
)

/** Copies the headers that Ktor has parsed. */
internal fun HttpHeadersMap.toList(): List<Header> =
    offsets().map { Header(nameAtOffset(it).toString(), valueAtOffset(it).toString()) }.toList()
