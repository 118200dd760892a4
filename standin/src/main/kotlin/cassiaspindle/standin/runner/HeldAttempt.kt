package cassiaspindle.standin.runner

/** What passes from runner to runner: the value and, for the last one, the length of the text. */
internal data class Activation(val value: Long, val textLength: Int) {
    override fun toString(): String = "$value/$textLength"

    companion object {
        fun parse(text: String?): Activation? {
            val value = text?.substringBefore('/')?.toLongOrNull()
            val textLength = text?.substringAfter('/')?.toIntOrNull()
            return if (value == null || textLength == null) null else Activation(value, textLength)
        }
    }
}

/** One attempt that a runner holds. */
internal data class HeldAttempt(
    val firstLayer: Int,
    val endLayer: Int,
    val nextPosition: Int,
    val state: Long,
    val textLength: Int,
)
