package cassiaspindle.daemon.relay.fleet

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.relay.fleet.EntryUpdate
import cassiaspindle.schema.EntryPresence

/** Logs that the entry VM of [presence] lacks a configuration, if it receives it with [update] or follows here. */
internal fun EventLog.writeMissingConfiguration(presence: EntryPresence, update: EntryUpdate) {
    val missing = update.missingConfiguration ?: return
    if (update.configuration == null && !presence.follows) return
    write(
        if (update.configuration != null) "configuration_repaired" else "configuration_repair_waits",
        "entry" to presence.name,
        "held" to presence.configurationVersion,
        "missing" to missing.version,
        "differs_ms" to update.repair?.differsMilliseconds,
        "since_repair_ms" to update.repair?.sinceRepairMilliseconds,
    )
}
