package cassiaspindle.transport.relay

import io.ktor.http.cio.HttpHeadersMap

/** One header line. */
data class Header(val name: String, val value: String)

/** The start of a request: its line and headers. */
data class RequestHead(val method: String, val target: String, val headers: List<Header>)

/** A request that is in memory whole. */
data class BufferedRequest(val head: RequestHead, val body: ByteArray) {
    override fun equals(other: Any?): Boolean =
        other is BufferedRequest && head == other.head && body.contentEquals(other.body)

    override fun hashCode(): Int = head.hashCode() * HASH_FACTOR + body.contentHashCode()

    private companion object {
        const val HASH_FACTOR = 31
    }
}

/** The start of an answer: its status and headers. */
data class ResponseHead(val status: Int, val reason: String, val headers: List<Header>)

/** A whole answer. */
class BufferedResponse(val head: ResponseHead, val body: ByteArray)

/** The first value of the header called [name], or null. */
fun List<Header>.firstValue(name: String): String? = firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

/** All values of the header called [name]. */
fun List<Header>.allValues(name: String): List<String> =
    filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

/** The headers without those called [names]. */
fun List<Header>.without(names: Set<String>): List<Header> = filter { it.name.lowercase() !in names }

/** Lower case names of headers that concern one connection only. */
val HOP_BY_HOP_HEADERS = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
)

/** The header lines that the library has read. */
internal fun HttpHeadersMap.toList(): List<Header> =
    offsets().map { Header(nameAtOffset(it).toString(), valueAtOffset(it).toString()) }.toList()
