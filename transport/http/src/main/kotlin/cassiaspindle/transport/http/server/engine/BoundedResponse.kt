package cassiaspindle.transport.http.server.engine

import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall
import cassiaspindle.transport.relay.ResponseHead
import cassiaspindle.transport.relay.allValues
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.PipelineCall
import io.ktor.server.engine.BaseApplicationResponse
import io.ktor.server.response.ResponseHeaders
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.writer
import kotlinx.coroutines.coroutineScope

/** The response of a [BoundedCall]: whole, or in pieces as a route writes them. */
internal class BoundedResponse(call: PipelineCall, private val exchange: RelayCall) : BaseApplicationResponse(call) {
    private val headerList = mutableListOf<Header>()
    private var statusCode = HttpStatusCode.OK

    override val headers: ResponseHeaders = object : ResponseHeaders() {
        override fun engineAppendHeader(name: String, value: String) {
            headerList += Header(name, value)
        }

        override fun getEngineHeaderNames(): List<String> = headerList.map { it.name }

        override fun getEngineHeaderValues(name: String): List<String> = headerList.allValues(name)
    }

    override fun setStatus(statusCode: HttpStatusCode) {
        this.statusCode = statusCode
    }

    override suspend fun respondFromBytes(bytes: ByteArray) = exchange.respond(head(), bytes)

    override suspend fun respondNoContent(content: OutgoingContent.NoContent) = exchange.respond(head(), ByteArray(0))

    override suspend fun respondWriteChannelContent(content: OutgoingContent.WriteChannelContent) = coroutineScope {
        respondFromChannel(writer { content.writeTo(channel) }.channel)
    }

    override suspend fun respondFromChannel(readChannel: ByteReadChannel) = exchange.respondStream(head()) { write ->
        while (readChannel.awaitContent()) {
            write(readChannel.readByteArray(readChannel.availableForRead))
        }
    }

    override suspend fun respondUpgrade(upgrade: OutgoingContent.ProtocolUpgrade) =
        throw UnsupportedOperationException("connections are not upgraded")

    override suspend fun responseChannel(): ByteWriteChannel =
        throw UnsupportedOperationException("contents are written whole or from a channel")

    private fun head() = ResponseHead(statusCode.value, statusCode.description, headerList)
}
