package cassiaspindle.entry.admission

import cassiaspindle.core.identity.Digest
import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.catalog.ServiceCatalog
import cassiaspindle.schema.AllowedCaller
import cassiaspindle.schema.EntryNews
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.StoredDocument
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class AdmissionControlTest : AnnotationSpec() {
    private val digest = Digest.of("key")
    private val document = ServiceDocument("service", 1, emptyList(), listOf(AllowedCaller("account", digest, 1)))
    private val catalog = ServiceCatalog().apply {
        applyNews(EntryNews(0, LEASE_MILLISECONDS, 1, listOf(StoredDocument(1, "", document))))
    }

    @Test
    fun `a caller whose key the service does not accept is refused before its body`() {
        val admission = AdmissionControl(catalog)
        admission.refusalBeforeBody("service", digest, nowMilliseconds = 1) shouldBe null
        admission.refusalBeforeBody("service", Digest.of("other"), nowMilliseconds = 1) shouldBe
            ResultCode.UNAUTHENTICATED
        admission.refusalBeforeBody("other", digest, nowMilliseconds = 1) shouldBe ResultCode.UNKNOWN_SERVICE
    }

    @Test
    fun `an entry VM that serves nobody names that reason, not the key`() {
        val admission = AdmissionControl(catalog)
        admission.refusalBeforeBody("other", "", nowMilliseconds = LEASE_MILLISECONDS) shouldBe
            ResultCode.ENTRY_CUT_OFF
        admission.refuseAll()
        admission.refusalBeforeBody("other", "", nowMilliseconds = 1) shouldBe ResultCode.DRAINING
    }

    private companion object {
        const val LEASE_MILLISECONDS = 1_000L
    }
}
