package cassiaspindle.control.document

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.ServiceDocument
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class DocumentRegistryTest : AnnotationSpec() {
    @Test
    fun `versions are consecutive and only one document of a version is accepted`() {
        val cases = listOf(
            ApplyCase(version = 2, "a", ResultCode.VERSION_CONFLICT),
            ApplyCase(version = 1, "a", ResultCode.OK, sequence = 1),
            ApplyCase(version = 1, "a", ResultCode.OK, sequence = 1),
            ApplyCase(version = 1, "b", ResultCode.VERSION_CONFLICT, acceptedDigest = "a"),
            ApplyCase(version = 2, "b", ResultCode.OK, sequence = 2),
            ApplyCase(version = 1, "a", ResultCode.OK, sequence = 1),
            ApplyCase(version = 1, "c", ResultCode.VERSION_CONFLICT, acceptedDigest = "a"),
            ApplyCase(version = 4, "d", ResultCode.VERSION_CONFLICT, acceptedDigest = "b"),
        )
        val registry = DocumentRegistry()
        for (case in cases) {
            val outcome = registry.apply(document(case.version), case.digest)
            outcome.code shouldBe case.code.number
            outcome.document?.sequence shouldBe case.sequence
            if (case.acceptedDigest != null) outcome.digest shouldBe case.acceptedDigest
        }
        registry.find("service")?.document?.version shouldBe 2
    }

    @Test
    fun `a restored registry gives the same answers`() {
        val registry = DocumentRegistry()
        registry.apply(document(1), "a")
        val restored = DocumentRegistry()
        restored.restore(registry.capture(GroupState()))
        restored.apply(document(1), "a") shouldBe registry.apply(document(1), "a")
        restored.apply(document(1), "b").code shouldBe ResultCode.VERSION_CONFLICT.number
        restored.acceptedAfter(0) shouldBe registry.acceptedAfter(0)
    }

    private fun document(version: Long) = ServiceDocument("service", version, emptyList(), emptyList())

    private data class ApplyCase(
        val version: Long,
        val digest: String,
        val code: ResultCode,
        val sequence: Long? = null,
        val acceptedDigest: String? = null,
    )
}
