package cassiaspindle.control.configuration

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.StoredConfiguration
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class ConfigurationRegistryTest : AnnotationSpec() {
    private val stored = StoredConfiguration(version = 5, content = "five")

    @Test
    fun `only a higher version is stored and every version is acknowledged`() {
        val registry = ConfigurationRegistry()
        val older = StoredConfiguration(version = 4, content = "four")
        val sent = listOf(stored, stored, stored.copy(content = "other"), older)
        sent.forEach { registry.apply(it).code shouldBe ResultCode.OK.number }
        registry.newest shouldBe stored
        val higher = StoredConfiguration(version = 9, content = "nine")
        registry.apply(higher)
        registry.newest shouldBe higher
    }

    /** Guards against review case 3: whoever sent other content under the stored version took its own for stored. */
    @Test
    fun `the outcome holds the stored configuration unless the same one was sent`() {
        val registry = ConfigurationRegistry()
        registry.apply(stored).configuration shouldBe null
        registry.apply(stored).configuration shouldBe null
        registry.apply(stored.copy(content = "other")).configuration shouldBe stored
        registry.apply(StoredConfiguration(version = 4, content = "four")).configuration shouldBe stored
    }

    @Test
    fun `a snapshot restores the configuration`() {
        val registry = ConfigurationRegistry().apply { apply(stored) }
        val restored = ConfigurationRegistry().apply { restore(registry.capture(GroupState())) }
        restored.newest shouldBe stored
    }
}
