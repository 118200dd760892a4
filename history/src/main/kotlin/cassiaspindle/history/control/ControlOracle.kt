package cassiaspindle.history.control

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.StoredDocument

/** Records the guarantees given to clients and checks that no later observation violates them. */
internal class ControlOracle {
    private val digestBySequence = mutableMapOf<Long, String>()
    private val versionByService = mutableMapOf<String, Long>()
    private val requestByOrder = mutableMapOf<OrderName, String>()
    private val finalStates = mutableMapOf<OrderName, String>()
    private val detected = mutableListOf<String>()

    /** Violated guarantees, in the order of detection. */
    val violations: List<String> get() = detected

    /** Orders that a request was allowed to dispatch. */
    val orders: Set<OrderName> get() = requestByOrder.keys

    /** Newest accepted document version, by service. */
    val acceptedVersions: Map<String, Long> get() = versionByService

    /** Records that a replica published [document]. */
    fun recordPublished(document: StoredDocument) {
        val previous = digestBySequence.getOrPut(document.sequence) { document.digest }
        if (previous != document.digest) detected += "sequence ${document.sequence} stands for two documents"
    }

    /** Records that a client received the acceptance of [document]. */
    fun recordAccepted(document: StoredDocument) {
        recordPublished(document)
        val service = document.document.service
        versionByService[service] = maxOf(versionByService[service] ?: 0, document.document.version)
    }

    /** Records that the request [requestId] received permission to dispatch the order. */
    fun recordDispatchPermission(name: OrderName, requestId: String) {
        val previous = requestByOrder.getOrPut(name) { requestId }
        if (previous != requestId) detected += "order ${name.key} may be dispatched by $previous and by $requestId"
    }

    /** Records the order state that a client received, and checks that a final state does not change. */
    fun recordOrderState(record: OrderRecord) {
        val name = record.intent.name
        val state = "${record.state} ${record.output}"
        val isFinal = record.state == OrderState.DONE || record.state == OrderState.NOT_RUN
        val previous = finalStates[name]
        when {
            previous != null && previous != state -> detected += "order ${name.key} was $previous, then $state"
            isFinal -> finalStates[name] = state
        }
    }

    /** Checks that a read of [service], begun after [acceptedVersion] was accepted, did not return an older version. */
    fun checkDocumentRead(service: String, acceptedVersion: Long, read: StoredDocument?) {
        val version = read?.document?.version ?: 0
        if (version < acceptedVersion) {
            detected += "a read of $service gave version $version after $acceptedVersion was accepted"
        }
    }

    /** Checks the [outcome] of reading an order that a request may dispatch. */
    fun checkOrderRead(name: OrderName, outcome: CommandOutcome) {
        val record = outcome.order
        when {
            record != null -> recordOrderState(record)
            outcome.code == ResultCode.UNKNOWN_ORDER.number -> detected += "order ${name.key} is lost"
        }
    }

    /** Checks that at most one replica holds the lease of a group; [names] are those that hold it now. */
    fun checkLeaseholders(names: List<String>) {
        if (names.size > 1) detected += "the lease is held by ${names.joinToString(" and ")}"
    }

    /** Records that the group did not recover after all faults had ended. */
    fun recordNoRecovery() {
        detected += "no leader answers after all faults are over"
    }
}
