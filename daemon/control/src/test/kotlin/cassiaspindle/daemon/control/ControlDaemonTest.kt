package cassiaspindle.daemon.control

import cassiaspindle.codec.Keys
import cassiaspindle.core.builder.serviceDocument
import cassiaspindle.core.concurrency.seededRandom
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.schema.ControlAddress
import cassiaspindle.schema.ControlSettings
import cassiaspindle.schema.KeyFiles
import cassiaspindle.schema.Stage
import cassiaspindle.transport.http.client.OperatorClient
import cassiaspindle.transport.http.client.newHttpClient
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

class ControlDaemonTest : AnnotationSpec() {
    private val keys = Keys("system", "operator", "backend")
    private val folder: Path = Files.createTempDirectory("control-daemon")
    private val addresses = List(3) { ControlAddress("control-$it", "127.0.0.1:${port()}", "127.0.0.1:${port()}") }
    private val daemons = addresses.map { start(it.name) }.toMutableList()
    private val http = newHttpClient()
    private val operatorClient = OperatorClient(http, addresses, keys.operator)

    @AfterAll
    fun stop() {
        daemons.forEach(ControlDaemon::close)
        http.close()
        folder.toFile().deleteRecursively()
    }

    @Test
    suspend fun `documents survive restarts and a replaced disk`() {
        operatorClient.apply(document(1)).get()?.version shouldBe 1
        operatorClient.apply(document(3)).getError()?.code shouldBe ResultCode.VERSION_CONFLICT
        operatorClient.apply(document(1, call = "other")).getError()?.code shouldBe ResultCode.VERSION_CONFLICT
        daemons.indices.forEach { index ->
            daemons[index].close()
            if (index == 0) folder.resolve("control-0").toFile().deleteRecursively()
            daemons[index] = start("control-$index")
            operatorClient.apply(document(index + 2L)).get()?.version shouldBe index + 2L
        }
        operatorClient.show("service").get().shouldNotBeNull().document.version shouldBe 4
        operatorClient.history("service").get()?.versions?.map { it.version } shouldBe listOf(1, 2, 3, 4)
    }

    @Test
    suspend fun `a wrong operator key, an invalid document and an unknown service are refused`() {
        val unauthorizedClient = OperatorClient(http, addresses, "wrong")
        unauthorizedClient.show("service").getError()?.code shouldBe ResultCode.UNAUTHENTICATED
        val invalidDocument = document(9).copy(stages = listOf(Stage("empty")))
        operatorClient.apply(invalidDocument).getError()?.code shouldBe ResultCode.DOCUMENT_INVALID
        val invalidName = document(9).copy(service = "No Name")
        operatorClient.apply(invalidName).getError()?.code shouldBe ResultCode.DOCUMENT_INVALID
        operatorClient.show("nothing").getError()?.code shouldBe ResultCode.UNKNOWN_DOCUMENT
    }

    private fun document(version: Long, call: String = "explain") = serviceDocument("service", version) {
        call(call, application = "line-app")
    }

    private fun start(name: String): ControlDaemon {
        val settings = ControlSettings(
            name = name,
            availabilityZone = "howrah",
            dataFolder = folder.resolve(name).toString(),
            replicas = addresses,
            keyFiles = KeyFiles("unused", "unused", "unused"),
            electionTimeoutMilliseconds = 300,
        )
        val environment = ControlEnvironment(keys, Clock.system, seededRandom(name.hashCode().toLong()), onFatal = {})
        return ControlDaemon.start(settings, environment).get().shouldNotBeNull()
    }

    private fun port(): Int = ServerSocket(0).use { it.localPort }
}
