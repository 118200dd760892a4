package cassiaspindle.control.document

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.DocumentHistory
import cassiaspindle.schema.DocumentVersion
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.StoredDocument

/** The accepted service documents; part of the replicated state of group 0. */
class DocumentRegistry {
    private val newestByService = sortedMapOf<String, StoredDocument>()
    private val histories = mutableMapOf<String, MutableList<DocumentVersion>>()

    /** Sequence number of the newest accepted document, or 0 if there is none. */
    var sequence = 0L
        private set

    /**
     * Accepts [document] if its version is one more than the newest accepted version.
     *
     * A retry with the same version and [digest] gets the earlier answer. Any other document gets
     * [ResultCode.VERSION_CONFLICT] with the digest accepted under its version, or else the newest digest.
     */
    fun apply(document: ServiceDocument, digest: String): CommandOutcome {
        val current = newestByService[document.service]
        val accepted = histories[document.service]?.firstOrNull { it.version == document.version }
        return when {
            accepted?.digest == digest ->
                CommandOutcome(ResultCode.OK.number, StoredDocument(accepted.sequence, digest, document))
            document.version == (current?.document?.version ?: 0) + 1 -> accept(document, digest)
            else -> CommandOutcome(ResultCode.VERSION_CONFLICT.number, digest = accepted?.digest ?: current?.digest)
        }
    }

    /** The newest document of [service], or null. */
    fun find(service: String): StoredDocument? = newestByService[service]

    /** The accepted versions of [service], oldest first. */
    fun history(service: String): List<DocumentVersion> = histories[service].orEmpty().toList()

    /** The newest document of each service that was accepted after [sequence], in order of acceptance. */
    fun acceptedAfter(sequence: Long): List<StoredDocument> =
        newestByService.values.filter { it.sequence > sequence }.sortedBy(StoredDocument::sequence)

    /** Returns [state] with the documents added. */
    fun capture(state: GroupState): GroupState = state.copy(
        documentSequence = sequence,
        documents = newestByService.values.toList(),
        histories = histories.map { (service, versions) -> DocumentHistory(service, versions.toList()) },
    )

    /** Replaces the documents with those in [state]. */
    fun restore(state: GroupState) {
        sequence = state.documentSequence
        newestByService.clear()
        state.documents.associateByTo(newestByService) { it.document.service }
        histories.clear()
        state.histories.forEach { histories[it.service] = it.versions.toMutableList() }
    }

    private fun accept(document: ServiceDocument, digest: String): CommandOutcome {
        sequence++
        val stored = StoredDocument(sequence, digest, document)
        newestByService[document.service] = stored
        histories.getOrPut(document.service) { mutableListOf() } +=
            DocumentVersion(document.version, digest, sequence)
        return CommandOutcome(ResultCode.OK.number, stored)
    }
}
