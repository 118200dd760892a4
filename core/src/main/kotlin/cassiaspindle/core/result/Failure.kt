package cassiaspindle.core.result

/** A refusal or failure: its [code] and one [detail] line for a person. */
data class Failure(
    val code: ResultCode,
    val detail: String = code.meaning,
)
