package cassiaspindle.transport.relay

private const val DELETE = '\u007f'

/** Characters of a token besides letters and digits. */
private const val TOKEN_MARKS = "!#$%&'*+-.^_`|~"

/** Whether this is a line of a head or a trailer: a token, a colon and a value (RFC 9110, section 5). */
internal fun String.isFieldLine(): Boolean {
    val colon = indexOf(':')
    return colon > 0 && (0 until colon).all { this[it].isTokenCharacter() } && isText()
}

/** Whether this holds no control characters other than tabs. */
internal fun String.isText(): Boolean = none { it < ' ' && it != '\t' || it == DELETE }

private fun Char.isTokenCharacter(): Boolean =
    this in 'a'..'z' || this in 'A'..'Z' || this in '0'..'9' || this in TOKEN_MARKS
