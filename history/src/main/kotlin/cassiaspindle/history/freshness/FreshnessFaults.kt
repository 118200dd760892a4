package cassiaspindle.history.freshness

import cassiaspindle.relay.fleet.EntryUpdates

/** Points where a test can inject an implementation fault, as function types; the defaults are correct. */
data class FreshnessFaults(
    /** Creates what decides at a control replica on the updates of entry VMs. */
    val newEntryUpdates: () -> EntryUpdates = { EntryUpdates() },
)
