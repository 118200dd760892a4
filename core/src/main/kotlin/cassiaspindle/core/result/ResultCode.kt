package cassiaspindle.core.result

import cassiaspindle.schema.Execution

/**
 * The numbered results of every operation; docs/RESULT_CODES.md holds the same table for users.
 *
 * [execution] states what is known about the execution of the request that gets the code.
 */
enum class ResultCode(val number: Int, val execution: Execution, val meaning: String) {
    OK(0, Execution.RUN, "Done."),

    MALFORMED(100, Execution.NOT_RUN, "The message can't be read."),
    TOO_LARGE(101, Execution.NOT_RUN, "The message is larger than the settings allow."),
    UNAUTHENTICATED(102, Execution.NOT_RUN, "The key is missing or unknown."),
    NOT_ALLOWED(103, Execution.NOT_RUN, "The client account may not use the service."),
    UNKNOWN_SERVICE(104, Execution.NOT_RUN, "No document in force names the service."),
    UNKNOWN_PATH(105, Execution.NOT_RUN, "The path or method does not exist."),
    ORDER_KEY_INVALID(106, Execution.NOT_RUN, "The Idempotency-Key is missing or is no UUID of version 7."),
    ORDER_KEY_REUSED(107, Execution.NOT_RUN, "The key was used before with another body; this body was not run."),
    ORDER_KEY_TOO_OLD(108, Execution.NOT_RUN, "The key is older than orders are remembered."),
    ORDER_EXPECTED(109, Execution.NOT_RUN, "The service holds a call that may not be repeated; send an order."),
    OVERLOADED(110, Execution.NOT_RUN, "No capacity is free."),
    DEADLINE_TOO_SHORT(111, Execution.NOT_RUN, "The answer can't be ready by the deadline."),
    NO_BACK_END(112, Execution.NOT_RUN, "No backend servers cover the pipeline."),
    DRAINING(113, Execution.NOT_RUN, "The entry VM is shutting down."),
    ENTRY_CUT_OFF(114, Execution.NOT_RUN, "The entry VM has no lease from the control replicas."),
    ACCOUNT_LIMIT(115, Execution.NOT_RUN, "The client account has too many requests in flight."),
    ORDER_NOT_RUN(116, Execution.NOT_RUN, "The order was settled as not run."),
    CONTROL_UNREACHABLE(117, Execution.NOT_RUN, "The ledger did not record the order."),

    DEADLINE_PASSED(300, Execution.MAY_HAVE_RUN, "The deadline passed after work had begun."),
    BACK_END_LOST(301, Execution.MAY_HAVE_RUN, "A backend server was lost after work had begun."),
    ORDER_IN_PROGRESS(302, Execution.MAY_HAVE_RUN, "The order is being run; ask again."),
    ORDER_IN_DOUBT(303, Execution.MAY_HAVE_RUN, "The order may have run; it is settled by a status read or by an operator."),
    CANCELLED(304, Execution.MAY_HAVE_RUN, "The caller went away."),
    ANSWER_INVALID(305, Execution.MAY_HAVE_RUN, "A backend server broke the protocol."),
    ORDER_KNOWN(306, Execution.MAY_HAVE_RUN, "The ledger held the order before."),

    NOT_LEADER(400, Execution.NOT_RUN, "This control replica does not lead; ask the one named."),
    VERSION_CONFLICT(401, Execution.NOT_RUN, "Another content holds this version or a later one."),
    LEADERSHIP_LOST(402, Execution.MAY_HAVE_RUN, "The leader changed before the outcome was known; send the same again."),
    DOCUMENT_INVALID(403, Execution.NOT_RUN, "The document breaks the schema or contradicts itself."),
    UNKNOWN_DOCUMENT(404, Execution.NOT_RUN, "No document of the service was accepted."),
    UNKNOWN_ORDER(405, Execution.NOT_RUN, "The ledger does not hold the order."),
    MEMBERSHIP_CHANGE_PENDING(406, Execution.NOT_RUN, "An earlier membership change is not committed yet."),

    SETTINGS_MISSING(500, Execution.NOT_RUN, "The settings file or a key file can't be read."),
    SETTINGS_INVALID(501, Execution.NOT_RUN, "The settings break the schema."),
    LOG_DAMAGED(510, Execution.NOT_RUN, "The log file is damaged before its end; replace the replica."),
    SYNC_FAILED(511, Execution.MAY_HAVE_RUN, "Writing or syncing the log failed; the process stops."),
    FOLDER_IN_USE(512, Execution.NOT_RUN, "Another process holds the data folder."),
    LOCAL_RUN_FAILED(520, Execution.MAY_HAVE_RUN, "The local example did not hold its invariants."),
    ;

    /** Lookups by number. */
    companion object {
        private val byNumber = entries.associateBy(ResultCode::number)

        /** The code with [number], or null where none has it. */
        fun ofNumber(number: Int): ResultCode? = byNumber[number]
    }
}
