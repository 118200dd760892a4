package cassiaspindle.standin.model

import cassiaspindle.core.identity.Digest

private const val MINIMUM_TEXT_LENGTH = 6
private const val TEXT_LENGTH_COUNT = 18
private const val VOCABULARY = 50_000L
private const val MULTIPLIER = 6_364_136_223_846_793_005L
private const val INCREMENT = 1_442_695_040_888_963_407L
private const val DIGEST_CHARACTERS = 15
private const val HEXADECIMAL_RADIX = 16

/**
 * A deterministic model without weights: each token depends on the prompt, the seed, all earlier tokens and all layers.
 *
 * A layer that is skipped, repeated or run out of order changes the token.
 */
object StandInModel {
    /** Returns the input of the first layer for the first token after [prompt]. */
    fun initialState(prompt: String, samplingSeed: Long): Long =
        mix(Digest.of(prompt).take(DIGEST_CHARACTERS).toLong(HEXADECIMAL_RADIX), samplingSeed)

    /** Returns the input of the first layer after [token] was generated. */
    fun addToken(state: Long, token: Long): Long = mix(state, token)

    /** Runs the layers from [firstLayer] to [endLayer], exclusive. */
    fun runLayers(activation: Long, firstLayer: Int, endLayer: Int): Long =
        (firstLayer until endLayer).fold(activation) { value, layer -> mix(value, layer.toLong()) }

    /** Decodes the output of the last layer into a token. */
    fun tokenOf(activation: Long): Long = Math.floorMod(activation ushr 1, VOCABULARY)

    /** Returns the number of tokens that the model generates for [prompt]. */
    fun textLength(prompt: String): Int =
        MINIMUM_TEXT_LENGTH +
            Math.floorMod(Digest.of(prompt).take(DIGEST_CHARACTERS).toLong(HEXADECIMAL_RADIX), TEXT_LENGTH_COUNT)

    /** Returns the tokens that a request must get, computed without runners. */
    fun expectedTokens(prompt: String, samplingSeed: Long, layers: Int, maximumTokens: Int): List<Long> {
        val tokens = mutableListOf<Long>()
        var state = initialState(prompt, samplingSeed)
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
