package cassiaspindle.standin.crowd

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** Below the ports that the kernel gives to outgoing connections, one of which could take a port before its process. */
private val PORTS = 15_000..30_000

/** Returns [count] ports of loopback for processes that are started later. */
fun listenPorts(count: Int): List<Int> =
    generateSequence { Random.nextInt(PORTS.first, PORTS.last) }.distinct().filter(::isFree).take(count).toList()

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
    true
} catch (_: IOException) {
    false
}
