package cassiaspindle.transport.peer

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Connections that have not sent the key yet, at most [maximum] of them: a new one closes the one that has waited
 * longest. A process of the system sends the key at once, and so outruns strangers that stay silent.
 */
internal class PendingConnections(private val maximum: Int, private val onDisplaced: () -> Unit) {
    private val lock = ReentrantLock()
    private val connections = LinkedHashSet<PeerConnection>()

    /** Adds [connection], and closes the one that it displaces. */
    fun add(connection: PeerConnection) {
        val displaced = lock.withLock {
            connections += connection
            if (connections.size <= maximum) null else connections.first().also { connections -= it }
        }
        if (displaced != null) {
            onDisplaced()
            displaced.close()
        }
    }

    /** Removes [connection], which has sent the key or has ended. */
    fun remove(connection: PeerConnection) = lock.withLock { connections -= connection }
}
