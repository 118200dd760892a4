package cassiaspindle.entry.catalog

import cassiaspindle.schema.EntryNews
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.StoredDocument
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class ServiceCatalogTest : AnnotationSpec() {
    @Test
    fun `documents that arrive in any order never go back to an older version`() {
        val catalog = ServiceCatalog()
        catalog.applyPushed(stored(1))
        catalog.applyPushed(stored(3))
        catalog.find("service")?.version shouldBe 1
        catalog.applyPushed(stored(2))
        catalog.applyPushed(stored(1))
        catalog.find("service")?.version shouldBe 2
        catalog.applyNews(news(sent = 0, stored(3)))
        catalog.applyNews(news(sent = 0, stored(2)))
        catalog.find("service")?.version shouldBe 3
        catalog.sequence shouldBe 3
    }

    @Test
    fun `the lease runs from the time of sending and a late reply does not shorten it`() {
        val catalog = ServiceCatalog()
        catalog.hasLease(0) shouldBe false
        catalog.applyNews(news(sent = 100))
        catalog.applyNews(news(sent = 50))
        catalog.hasLease(100 + LEASE - 1) shouldBe true
        catalog.hasLease(100 + LEASE) shouldBe false
    }

    private fun stored(version: Long) =
        StoredDocument(version, "", ServiceDocument("service", version, emptyList(), emptyList()))

    private fun news(sent: Long, vararg documents: StoredDocument) =
        EntryNews(sent, LEASE, documents.maxOfOrNull { it.sequence } ?: 0, documents.toList())

    private companion object {
        const val LEASE = 1_000L
    }
}
