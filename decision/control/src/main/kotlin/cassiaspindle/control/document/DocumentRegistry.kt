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
    private val newest = sortedMapOf<String, StoredDocument>()
    private val histories = mutableMapOf<String, MutableList<DocumentVersion>>()

    /** Sequence of the newest accepted document, 0 before the first. */
    var sequence = 0L
        private set

    /**
     * Accepts [document] where its version is one more than the version in force.
     *
     * The same version with the same [digest] gets the earlier answer; another content gets
     * [ResultCode.VERSION_CONFLICT] and the digest that won.
     */
    fun apply(document: ServiceDocument, digest: String): CommandOutcome {
        val current = newest[document.service]
        val known = histories[document.service]?.firstOrNull { it.version == document.version }
        return when {
            known?.digest == digest ->
                CommandOutcome(ResultCode.OK.number, StoredDocument(known.sequence, digest, document))
            document.version == (current?.document?.version ?: 0) + 1 -> accept(document, digest)
            else -> CommandOutcome(ResultCode.VERSION_CONFLICT.number, digest = known?.digest ?: current?.digest)
        }
    }

    /** The newest document of [service], or null. */
    fun find(service: String): StoredDocument? = newest[service]

    /** The accepted versions of [service], oldest first. */
    fun history(service: String): List<DocumentVersion> = histories[service].orEmpty().toList()

    /** The newest document of each service that was accepted after [sequence], in order of acceptance. */
    fun acceptedAfter(sequence: Long): List<StoredDocument> =
        newest.values.filter { it.sequence > sequence }.sortedBy(StoredDocument::sequence)

    /** Adds the documents to [state]. */
    fun capture(state: GroupState): GroupState = state.copy(
        documentSequence = sequence,
        documents = newest.values.toList(),
        histories = histories.map { (service, versions) -> DocumentHistory(service, versions.toList()) },
    )

    /** Replaces the documents by those in [state]. */
    fun restore(state: GroupState) {
        sequence = state.documentSequence
        newest.clear()
        state.documents.associateByTo(newest) { it.document.service }
        histories.clear()
        state.histories.forEach { histories[it.service] = it.versions.toMutableList() }
    }

    private fun accept(document: ServiceDocument, digest: String): CommandOutcome {
        sequence++
        val stored = StoredDocument(sequence, digest, document)
        newest[document.service] = stored
        histories.getOrPut(document.service) { mutableListOf() } +=
            DocumentVersion(document.version, digest, sequence)
        return CommandOutcome(ResultCode.OK.number, stored)
    }
}
