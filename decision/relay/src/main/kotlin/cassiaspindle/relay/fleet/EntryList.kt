package cassiaspindle.relay.fleet

import cassiaspindle.schema.EntryPresence
import java.util.concurrent.atomic.AtomicReference

/** Entry VMs of other zones are added to a discovery response with fewer addresses than this. */
private const val MINIMUM_ADDRESSES = 2

/** Maximum number of addresses in a discovery response. */
private const val MAXIMUM_ADDRESSES = 64

/** The entry VMs that callers may connect to, as published by the control replicas. */
class EntryList {
    private val current = AtomicReference(EntryListSnapshot(emptyList()))

    /** The latest list received. */
    val entries: List<EntryPresence> get() = current.get().entries

    /** The digest of that list. */
    val digest: Long get() = current.get().digest

    fun replace(entries: List<EntryPresence>) = current.set(EntryListSnapshot(entries))

    /** The caller addresses of the ready entry VMs in [availabilityZone], then of other zones if these are too few. */
    fun addresses(availabilityZone: String?): List<String> {
        val ready = entries.filter { it.ready }
        val local = ready.filter { it.availabilityZone == availabilityZone }
        val chosen = if (local.size >= MINIMUM_ADDRESSES) local else local + (ready - local.toSet())
        return chosen.take(MAXIMUM_ADDRESSES).map { it.callerAddress }
    }
}
