package cassiaspindle.transport.http.client

import cassiaspindle.codec.decodeJson
import cassiaspindle.codec.encodeJson
import cassiaspindle.schema.AnnouncementReply
import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.LeaveNotice
import cassiaspindle.schema.LoadReport
import com.github.michaelbull.result.get
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.io.IOException

private const val REQUEST_TIMEOUT_MILLISECONDS = 1_000L

/** Sends the messages of a backend server to entry VMs; the next message makes up for a lost one. */
class AnnouncementClient(private val client: HttpClient, private val key: String) {
    /** Sends [announcement] to the entry VM at [address]; returns null if it does not respond. */
    suspend fun announce(address: String, announcement: BackEndAnnouncement): AnnouncementReply? =
        post(address, "announcements", encodeJson(announcement))?.let { decodeJson<AnnouncementReply>(it).get() }

    /** Sends a load report to the entry VM at [address]. */
    suspend fun report(address: String, report: LoadReport) {
        post(address, "load-reports", encodeJson(report))
    }

    /** Notifies the entry VM at [address] that the backend server leaves. */
    suspend fun leave(address: String, notice: LeaveNotice) {
        post(address, "leave-notices", encodeJson(notice))
    }

    private suspend fun post(address: String, kind: String, body: String): String? = try {
        client.post("http://$address/v1/backends/$kind") {
            timeout { requestTimeoutMillis = REQUEST_TIMEOUT_MILLISECONDS }
            bearer(key)
            contentType(ContentType.Application.Json)
            setBody(body)
        }.bodyAsText()
    } catch (_: IOException) {
        null
    }
}
