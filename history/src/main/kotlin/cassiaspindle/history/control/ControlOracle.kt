package cassiaspindle.history.control

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.StoredDocument

/** Records the guarantees given to clients and checks that no later observation violates them. */
internal class ControlOracle {
    private val digestOfSequence = mutableMapOf<Long, String>()
    private val newestVersion = mutableMapOf<String, Long>()
    private val winner = mutableMapOf<OrderName, String>()
    private val outcomes = mutableMapOf<OrderName, String>()
    private val found = mutableListOf<String>()

    /** Violated guarantees, in the order of detection. */
    val violations: List<String> get() = found

    /** Orders that a request was allowed to dispatch. */
    val orders: Set<OrderName> get() = winner.keys

    /** Newest accepted document version, by service. */
    val documents: Map<String, Long> get() = newestVersion

    /** Records that a replica published [document]. */
    fun published(document: StoredDocument) {
        val known = digestOfSequence.getOrPut(document.sequence) { document.digest }
        if (known != document.digest) found += "sequence ${document.sequence} stands for two documents"
    }

    /** Records that a client received the acceptance of [document]. */
    fun accepted(document: StoredDocument) {
        published(document)
        val service = document.document.service
        newestVersion[service] = maxOf(newestVersion[service] ?: 0, document.document.version)
    }

    /** Records that the request [requestId] received permission to dispatch the order. */
    fun mayDispatch(name: OrderName, requestId: String) {
        val known = winner.getOrPut(name) { requestId }
        if (known != requestId) found += "order ${name.key} may be dispatched by $known and by $requestId"
    }

    /** Records the order state that a client received, and checks that a final state does not change. */
    fun told(record: OrderRecord) {
        val name = record.intent.name
        val outcome = "${record.state} ${record.output}"
        val isFinal = record.state == OrderState.DONE || record.state == OrderState.NOT_RUN
        val known = outcomes[name]
        when {
            known != null && known != outcome -> found += "order ${name.key} was told as $known and as $outcome"
            isFinal -> outcomes[name] = outcome
        }
    }

    /** Checks a read of [service] that began when [promised] was the newest accepted version and returned [read]. */
    fun readDocument(service: String, promised: Long, read: StoredDocument?) {
        val version = read?.document?.version ?: 0
        if (version < promised) found += "a read of $service gave version $version after $promised was accepted"
    }

    /** Checks the [outcome] of reading an order that a request may dispatch. */
    fun readOrder(name: OrderName, outcome: CommandOutcome) {
        val record = outcome.order
        when {
            record != null -> told(record)
            outcome.code == ResultCode.UNKNOWN_ORDER.number -> found += "order ${name.key} is lost"
        }
    }

    /** Checks that at most one replica holds the lease of a group; [names] are those that hold it now. */
    fun leaseholders(names: List<String>) {
        if (names.size > 1) found += "the lease is held by ${names.joinToString(" and ")}"
    }

    /** Records that the group did not recover after all faults had ended. */
    fun stuck() {
        found += "no leader answers after all faults are over"
    }
}
