package cassiaspindle.standin.crowd

import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/** What a caller sends: [first] once, [repeated] as often as [repetitions] says, and [last] once; in Latin-1. */
data class CallerScript(val first: String, val repeated: String, val repetitions: Int, val last: String) {
    /** All bytes of the script. */
    fun toBytes(): ByteArray = (first + repeated.repeat(repetitions) + last).toByteArray(Charsets.ISO_8859_1)
}

/** Callers that send their scripts to [address] as fast as they are read, and stay connected. */
class CallerCrowd(address: String, scripts: List<CallerScript>) : AutoCloseable {
    private val target = InetSocketAddress(address.substringBefore(':'), address.substringAfter(':').toInt())
    private val callers = scripts.distinct().associateWith { ByteBuffer.wrap(it.toBytes()) }
        .let { texts -> scripts.mapNotNull { script -> connect(texts.getValue(script).duplicate()) } }

    /** Sends until all scripts are sent or the other side has read nothing for some time; [onRound] runs repeatedly. */
    fun send(onRound: () -> Unit = {}) {
        var quietRounds = 0
        while (quietRounds < QUIET_ROUNDS && callers.any { it.isSending }) {
            val count = callers.sumOf { it.send() }
            quietRounds = if (count > 0) 0 else quietRounds + 1
            onRound()
            if (count == 0) Thread.sleep(PAUSE_MILLISECONDS)
        }
    }

    override fun close() = callers.forEach { it.channel.close() }

    private fun connect(text: ByteBuffer): Caller? = try {
        Caller(SocketChannel.open(target).apply { configureBlocking(false) }, text)
    } catch (_: IOException) {
        null
    }

    private class Caller(val channel: SocketChannel, private val text: ByteBuffer) {
        private var isRefused = false

        val isSending: Boolean get() = !isRefused && text.hasRemaining()

        fun send(): Int = try {
            if (isSending) channel.write(text) else 0
        } catch (_: IOException) {
            isRefused = true
            0
        }
    }

    private companion object {
        const val QUIET_ROUNDS = 40
        const val PAUSE_MILLISECONDS = 50L
    }
}
