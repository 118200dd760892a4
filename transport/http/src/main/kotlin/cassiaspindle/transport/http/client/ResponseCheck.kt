package cassiaspindle.transport.http.client

import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.ResponseHead
import cassiaspindle.transport.relay.isWellFormed
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.request
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.ParserException
import io.ktor.util.flattenEntries
import kotlinx.coroutines.CancellationException
import kotlinx.io.IOException

/** Statuses of final responses; the parser of the client accepts others. */
private const val FIRST_STATUS = 200
private const val LAST_STATUS = 599

/** Throws [IOException] if the head of [response] is none; the parser of the client accepts more than HTTP allows. */
internal fun requireWellFormed(response: HttpResponse) {
    val status = response.status
    val asksForUpgrade = response.request.content.headers.contains(HttpHeaders.Upgrade)
    val isUpgrade = asksForUpgrade && status == HttpStatusCode.SwitchingProtocols
    if (status.value !in FIRST_STATUS..LAST_STATUS && !isUpgrade) throw IOException("invalid status ${status.value}")
    val headers = response.headers.flattenEntries().map { (name, value) -> Header(name, value) }
    if (!isWellFormed(ResponseHead(status.value, status.description, headers))) throw IOException("malformed head")
}

/** The client reports a head or body that is malformed or cut off by exceptions that are no [IOException]. */
internal fun asConnectionProblem(cause: Throwable): Throwable = when (cause) {
    is CancellationException -> cause
    is ParserException, is IllegalStateException, is NumberFormatException -> IOException("broken response", cause)
    else -> cause
}
