package cassiaspindle.control.session

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryAddress
import cassiaspindle.schema.EntryHeartbeat
import cassiaspindle.schema.EntryStatus

private const val SHARD_COUNT = 8

/**
 * The last heartbeat and the lease of each entry VM, in memory only.
 *
 * A replica starts without leases and learns them from the next heartbeats.
 */
class EntrySessions(private val leaseMilliseconds: Long) {
    private val shards = Sharded(SHARD_COUNT) { mutableMapOf<String, Session>() }

    /** Renews the lease of the entry VM that sent [heartbeat]; ignores an older incarnation. */
    fun renew(heartbeat: EntryHeartbeat, nowMilliseconds: Long) {
        shards.withKey(heartbeat.name) { sessions ->
            val current = sessions[heartbeat.name]
            if (current == null || current.heartbeat.incarnation <= heartbeat.incarnation) {
                sessions[heartbeat.name] = Session(heartbeat, nowMilliseconds + leaseMilliseconds)
            }
        }
    }

    /** Addresses of the entry VMs that callers may use. */
    fun addresses(nowMilliseconds: Long): List<EntryAddress> = liveHeartbeats(nowMilliseconds)
        .filter { !it.draining }
        .map { EntryAddress(it.name, it.address, it.availabilityZone) }

    /** Names of entry VMs with a valid lease that have not put document [sequence] in force. */
    fun entriesBehind(sequence: Long, nowMilliseconds: Long): List<String> =
        liveHeartbeats(nowMilliseconds).filter { it.documentSequence < sequence }.map(EntryHeartbeat::name)

    /** Whether the entry VM [name] has a valid lease for [incarnation]. */
    fun isLive(name: String, incarnation: Long, nowMilliseconds: Long): Boolean = shards.withKey(name) { sessions ->
        sessions[name]?.let { it.heartbeat.incarnation == incarnation && it.endMilliseconds > nowMilliseconds } ?: false
    }

    /** The status shown to operators. */
    fun status(nowMilliseconds: Long): List<EntryStatus> = liveHeartbeats(nowMilliseconds).map {
        EntryStatus(it.name, it.address, it.availabilityZone, it.documentSequence, it.draining)
    }

    private fun liveHeartbeats(nowMilliseconds: Long): List<EntryHeartbeat> = shards
        .mapEach { sessions ->
            sessions.values.removeIf { it.endMilliseconds <= nowMilliseconds }
            sessions.values.map(Session::heartbeat)
        }
        .flatten()
        .sortedBy(EntryHeartbeat::name)

    private data class Session(val heartbeat: EntryHeartbeat, val endMilliseconds: Long)
}
