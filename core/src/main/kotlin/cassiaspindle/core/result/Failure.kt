package cassiaspindle.core.result

/** A rejection or failure with its [code] and a [detail] message of one line. */
data class Failure(
    val code: ResultCode,
    val detail: String = code.meaning,
)
