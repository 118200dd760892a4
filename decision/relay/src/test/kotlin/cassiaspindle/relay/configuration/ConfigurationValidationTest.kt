package cassiaspindle.relay.configuration

import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.configuration
import cassiaspindle.relay.orderRoute
import cassiaspindle.relay.streamRoute
import cassiaspindle.schema.RelayAccount
import cassiaspindle.schema.RelayTarget
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class ConfigurationValidationTest : AnnotationSpec() {
    @Test
    fun `a consistent configuration is accepted`() {
        validateConfiguration(configuration).get() shouldBe configuration
    }

    @Test
    fun `an inconsistent configuration is rejected`() {
        val otherAccount = RelayAccount("three", listOf("d2"))
        val inconsistent = mapOf(
            "unknown service" to listOf(streamRoute.copy(targets = listOf(RelayTarget("nowhere", 1)))),
            "no weight" to listOf(orderRoute.copy(targets = listOf(RelayTarget("plain", 0)))),
            "no timeout" to listOf(streamRoute.copy(timeoutMilliseconds = 0)),
            "same path" to listOf(streamRoute, orderRoute.copy(pathPrefix = "/s/")),
        ).mapValues { configuration.copy(routes = it.value) } +
            ("shared key" to configuration.copy(accounts = configuration.accounts + otherAccount))
        inconsistent.forEach { (name, candidate) ->
            withClue(name) {
                validateConfiguration(candidate).getError()?.code shouldBe ResultCode.CONFIGURATION_INVALID
            }
        }
    }

    @Test
    fun `an account may list a key twice`() {
        val twice = configuration.copy(accounts = listOf(RelayAccount("one", listOf("d1", "d1"))))
        validateConfiguration(twice).get() shouldBe twice
    }
}
