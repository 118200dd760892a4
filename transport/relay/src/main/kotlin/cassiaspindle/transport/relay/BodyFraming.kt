package cassiaspindle.transport.relay

private const val CONTENT_LENGTH = "content-length"
private const val TRANSFER_ENCODING = "transfer-encoding"

/** Digits of ASCII, without a sign; Kotlin's own conversion also takes signs and digits of other scripts. */
private val LENGTH = Regex("[0-9]+")

/** The one transfer coding that is decoded; its name has no case. */
private val CHUNKED = Regex("(?i)chunked")

/** How the end of a message body is determined. */
internal sealed interface BodyFraming {
    data class Length(val bytes: Long) : BodyFraming

    data object Chunked : BodyFraming

    data object UntilClose : BodyFraming
}

/**
 * The framing that [headers] state, or [unstated] if they state none; null if they are invalid or conflict.
 *
 * The same for both directions (RFC 9112, section 6): either lengths that agree, or the transfer coding chunked alone.
 */
internal fun framingOf(headers: List<Header>, unstated: BodyFraming): BodyFraming? {
    val lengths = headers.allValues(CONTENT_LENGTH).distinct()
    val codings = headers.allValues(TRANSFER_ENCODING)
    return when {
        codings.isNotEmpty() ->
            BodyFraming.Chunked.takeIf { lengths.isEmpty() && codings.singleOrNull()?.matches(CHUNKED) == true }
        lengths.isNotEmpty() ->
            lengths.singleOrNull()?.takeIf(LENGTH::matches)?.toLongOrNull()?.let(BodyFraming::Length)
        else -> unstated
    }
}

/** Whether the reason and the fields of [head], which another parser has read, are valid, and its framing is clear. */
fun isWellFormed(head: ResponseHead): Boolean =
    head.reason.isText() &&
        head.headers.all { "${it.name}:${it.value}".isFieldLine() } &&
        framingOf(head.headers, unstated = BodyFraming.UntilClose) != null
