package cassiaspindle.core.result

import cassiaspindle.schema.Execution

/**
 * The result codes of all operations; docs/RESULT_CODES.md contains the same table for users.
 *
 * [execution] states whether a request with this result may have run.
 */
enum class ResultCode(val number: Int, val execution: Execution, val meaning: String) {
    OK(number = 0, Execution.RUN, "Done."),

    MALFORMED(number = 100, Execution.NOT_RUN, "The message can't be read."),
    TOO_LARGE(number = 101, Execution.NOT_RUN, "The message is larger than the settings allow."),
    UNAUTHENTICATED(number = 102, Execution.NOT_RUN, "The key is missing or unknown."),
    UNKNOWN_SERVICE(number = 104, Execution.NOT_RUN, "No document in force names the service."),
    UNKNOWN_PATH(number = 105, Execution.NOT_RUN, "The path or method does not exist."),
    ORDER_KEY_INVALID(number = 106, Execution.NOT_RUN, "The Idempotency-Key is missing or is no UUID of version 7."),
    ORDER_KEY_REUSED(
        number = 107,
        Execution.NOT_RUN,
        "The key was used before with another body; this body was not run.",
    ),
    ORDER_KEY_TOO_OLD(number = 108, Execution.NOT_RUN, "The key is older than orders are remembered."),
    ORDER_EXPECTED(
        number = 109,
        Execution.NOT_RUN,
        "The service holds a call that may not be repeated; send an order.",
    ),
    OVERLOADED(number = 110, Execution.NOT_RUN, "No capacity is free."),
    DEADLINE_TOO_SHORT(number = 111, Execution.NOT_RUN, "The answer can't be ready by the deadline."),
    NO_BACK_END(number = 112, Execution.NOT_RUN, "No backend servers cover the pipeline."),
    DRAINING(number = 113, Execution.NOT_RUN, "The entry VM is shutting down."),
    ENTRY_CUT_OFF(number = 114, Execution.NOT_RUN, "The entry VM has no lease from the control replicas."),
    ACCOUNT_LIMIT(number = 115, Execution.NOT_RUN, "The client account has too many requests in flight."),
    ORDER_NOT_RUN(number = 116, Execution.NOT_RUN, "The order was settled as not run."),
    CONTROL_UNREACHABLE(number = 117, Execution.NOT_RUN, "The ledger did not record the order."),
    HEADERS_TOO_LARGE(number = 118, Execution.NOT_RUN, "The headers are larger than the configuration allows."),
    CONFIGURATION_MISSING(number = 119, Execution.NOT_RUN, "The entry VM has not received a configuration yet."),

    CONTENT_BLOCKED(number = 120, Execution.NOT_RUN, "The request holds a content that crashes backend servers."),
    CONTENT_SUSPECTED(
        number = 121,
        Execution.NOT_RUN,
        "The request holds a content that may crash backend servers; it is tried with one request at a time.",
    ),
    BACK_ENDS_PAUSED(number = 122, Execution.NOT_RUN, "The backend servers have asked for a pause."),
    BACK_ENDS_LIMITED(number = 123, Execution.NOT_RUN, "The limits that the backend servers name are used up."),
    BODY_TOO_SLOW(number = 124, Execution.NOT_RUN, "The body of the request arrives too slowly."),

    DEADLINE_PASSED(number = 300, Execution.MAY_HAVE_RUN, "The deadline passed after work had begun."),
    BACK_END_LOST(number = 301, Execution.MAY_HAVE_RUN, "A backend server was lost after work had begun."),
    ORDER_IN_PROGRESS(number = 302, Execution.MAY_HAVE_RUN, "The order is being run; ask again."),
    ORDER_IN_DOUBT(
        number = 303,
        Execution.MAY_HAVE_RUN,
        "The order may have run; it is settled by a status read or by an operator.",
    ),
    ANSWER_INVALID(number = 305, Execution.MAY_HAVE_RUN, "A backend server broke the protocol."),
    ORDER_KNOWN(number = 306, Execution.MAY_HAVE_RUN, "The ledger held the order before."),

    NOT_LEADER(number = 400, Execution.NOT_RUN, "This control replica does not lead; ask the one named."),
    VERSION_CONFLICT(number = 401, Execution.NOT_RUN, "Another content holds this version or a later one."),
    LEADERSHIP_LOST(
        number = 402,
        Execution.MAY_HAVE_RUN,
        "The leader changed before the outcome was known; send the same again.",
    ),
    DOCUMENT_INVALID(number = 403, Execution.NOT_RUN, "The document breaks the schema or contradicts itself."),
    UNKNOWN_DOCUMENT(number = 404, Execution.NOT_RUN, "No document of the service was accepted."),
    UNKNOWN_ORDER(number = 405, Execution.NOT_RUN, "The ledger does not hold the order."),
    MEMBERSHIP_CHANGE_PENDING(number = 406, Execution.NOT_RUN, "An earlier membership change is not committed yet."),
    CONFIGURATION_INVALID(number = 407, Execution.NOT_RUN, "The configuration can't be read or contradicts itself."),

    SETTINGS_MISSING(number = 500, Execution.NOT_RUN, "The settings file or a key file can't be read."),
    SETTINGS_INVALID(number = 501, Execution.NOT_RUN, "The settings break the schema."),
    LOG_DAMAGED(number = 510, Execution.NOT_RUN, "The log file is damaged before its end; replace the replica."),
    SYNC_FAILED(number = 511, Execution.MAY_HAVE_RUN, "Writing or syncing the log failed; the process stops."),
    FOLDER_IN_USE(number = 512, Execution.NOT_RUN, "Another process holds the data folder."),
    LOCAL_RUN_FAILED(number = 520, Execution.MAY_HAVE_RUN, "The local example did not hold its invariants."),
    ;

    companion object {
        private val byNumber = entries.associateBy(ResultCode::number)

        /** The code with [number], or null if there is none. */
        fun ofNumber(number: Int): ResultCode? = byNumber[number]
    }
}
