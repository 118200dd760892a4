package cassiaspindle.relay.fleet

import cassiaspindle.schema.EntryPresence
import java.util.concurrent.atomic.AtomicReference

/** Fewest addresses that an answer for one zone holds before other zones are added. */
private const val FEWEST_ADDRESSES = 2

/** Most addresses of one answer. */
private const val MOST_ADDRESSES = 64

/** The entry VMs that callers may be sent to, as told by the control replicas. */
class EntryList {
    private val current = AtomicReference(EntryListSnapshot(emptyList()))

    /** The list that was told last. */
    val entries: List<EntryPresence> get() = current.get().entries

    /** The digest of that list. */
    val digest: Long get() = current.get().digest

    /** Takes a new list. */
    fun replace(entries: List<EntryPresence>) = current.set(EntryListSnapshot(entries))

    /** The caller addresses of the ready entry VMs in [availabilityZone], and of all where these are too few. */
    fun addresses(availabilityZone: String?): List<String> {
        val ready = entries.filter { it.ready }
        val near = ready.filter { it.availabilityZone == availabilityZone }
        val chosen = if (near.size >= FEWEST_ADDRESSES) near else near + (ready - near.toSet())
        return chosen.take(MOST_ADDRESSES).map { it.callerAddress }
    }
}
