package cassiaspindle.standin.model

import cassiaspindle.core.identity.Digest

private const val SHORTEST_TEXT = 6
private const val TEXT_LENGTHS = 18
private const val VOCABULARY = 50_000L
private const val MULTIPLIER = 6_364_136_223_846_793_005L
private const val INCREMENT = 1_442_695_040_888_963_407L
private const val DIGEST_CHARACTERS = 15
private const val HEXADECIMAL = 16

/**
 * A model without weights: every token depends on the prompt, the seed, all tokens before it and every layer in order.
 *
 * A layer that is skipped, repeated or run out of order changes the token.
 */
object StandInModel {
    /** What the first layer takes in: the prompt, the seed and the tokens so far. */
    fun begin(prompt: String, samplingSeed: Long): Long =
        mix(Digest.of(prompt).take(DIGEST_CHARACTERS).toLong(HEXADECIMAL), samplingSeed)

    /** Adds [token] to what the first layer takes in. */
    fun addToken(state: Long, token: Long): Long = mix(state, token)

    /** Runs the layers from [firstLayer] until [endLayer]. */
    fun runLayers(activation: Long, firstLayer: Int, endLayer: Int): Long =
        (firstLayer until endLayer).fold(activation) { value, layer -> mix(value, layer.toLong()) }

    /** The token that the output of the last layer stands for. */
    fun tokenOf(activation: Long): Long = Math.floorMod(activation ushr 1, VOCABULARY)

    /** Number of tokens of the text that [prompt] leads to. */
    fun textLength(prompt: String): Int =
        SHORTEST_TEXT + Math.floorMod(Digest.of(prompt).take(DIGEST_CHARACTERS).toLong(HEXADECIMAL), TEXT_LENGTHS)

    /** The whole text, computed in one place: what a request must get. */
    fun expectedTokens(prompt: String, samplingSeed: Long, layers: Int, maximumTokens: Int): List<Long> {
        val tokens = mutableListOf<Long>()
        var state = begin(prompt, samplingSeed)
        repeat(minOf(textLength(prompt), maximumTokens)) {
            val token = tokenOf(runLayers(state, 0, layers))
            tokens += token
            state = addToken(state, token)
        }
        return tokens
    }

    private fun mix(value: Long, addition: Long): Long {
        val multiplied = (value xor addition) * MULTIPLIER + INCREMENT
        return multiplied xor (multiplied ushr Int.SIZE_BITS)
    }
}
