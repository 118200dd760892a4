package cassiaspindle.history.control

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.StoredDocument

/** What was promised to clients, and whether anything seen later breaks it. */
internal class ControlOracle {
    private val digestOfSequence = mutableMapOf<Long, String>()
    private val newestVersion = mutableMapOf<String, Long>()
    private val winner = mutableMapOf<OrderName, String>()
    private val outcomes = mutableMapOf<OrderName, String>()
    private val found = mutableListOf<String>()

    /** What broke, in the order in which it was seen. */
    val violations: List<String> get() = found

    /** Orders that a request was allowed to dispatch. */
    val orders: Set<OrderName> get() = winner.keys

    /** Documents that were promised, by service. */
    val documents: Map<String, Long> get() = newestVersion

    /** A replica put [document] in force. */
    fun published(document: StoredDocument) {
        val known = digestOfSequence.getOrPut(document.sequence) { document.digest }
        if (known != document.digest) found += "sequence ${document.sequence} stands for two documents"
    }

    /** A client was told that [document] is accepted. */
    fun accepted(document: StoredDocument) {
        published(document)
        val service = document.document.service
        newestVersion[service] = maxOf(newestVersion[service] ?: 0, document.document.version)
    }

    /** The request [requestId] was told that it may dispatch the order. */
    fun mayDispatch(name: OrderName, requestId: String) {
        val known = winner.getOrPut(name) { requestId }
        if (known != requestId) found += "order ${name.key} may be dispatched by $known and by $requestId"
    }

    /** A client was told what became of an order. */
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

    /** A read of [service], begun when [promised] was the newest promised version, gave [read]. */
    fun readDocument(service: String, promised: Long, read: StoredDocument?) {
        val version = read?.document?.version ?: 0
        if (version < promised) found += "a read of $service gave version $version after $promised was accepted"
    }

    /** A read of an order that a request may dispatch gave [outcome]. */
    fun readOrder(name: OrderName, outcome: CommandOutcome) {
        val record = outcome.order
        when {
            record != null -> told(record)
            outcome.code == ResultCode.UNKNOWN_ORDER.number -> found += "order ${name.key} is lost"
        }
    }

    /** Replicas that hold the lease of one group at one moment. */
    fun leaseholders(names: List<String>) {
        if (names.size > 1) found += "the lease is held by ${names.joinToString(" and ")}"
    }

    /** The system did not work again once all faults were over. */
    fun stuck() {
        found += "no leader answers after all faults are over"
    }
}
