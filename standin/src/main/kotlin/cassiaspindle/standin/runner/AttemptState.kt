package cassiaspindle.standin.runner

/** Output of one runner and input of the next; the last runner needs the length of the text to end it. */
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

/** State of one attempt on a runner, in place of a KV cache. */
internal data class AttemptState(
    val firstLayer: Int,
    val endLayer: Int,
    val nextPosition: Int,
    val state: Long,
    val textLength: Int,
)
