package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.StoredConfiguration

private const val SHARDS = 8

/** Time after which a configuration that an entry VM still lacks is sent again over one connection, in milliseconds. */
internal const val RESEND_MILLISECONDS = 3_000L

/**
 * The configuration that a control replica sent last to each entry VM, so that none is sent twice over one connection
 * while it is in transit, and each other one at once; sharded by name.
 */
internal class SentConfigurations(private val resendMilliseconds: Long) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Sent>() }

    /** Whether [configuration], which [receiver] lacks, has to be sent to it now; records that it is. */
    fun claim(receiver: EntryReceiver, configuration: StoredConfiguration, nowMilliseconds: Long): Boolean =
        shards.withKey(receiver.name) { states ->
            states.values.removeIf { nowMilliseconds - it.atMilliseconds >= resendMilliseconds }
            val sent = states[receiver.name]
            val isDue = sent == null || sent.connection != receiver.connection || sent.configuration != configuration
            if (isDue) states[receiver.name] = Sent(configuration, receiver.connection, nowMilliseconds)
            isDue
        }

    /** Records that [configuration] was sent to [receiver] unasked. */
    fun record(receiver: EntryReceiver, configuration: StoredConfiguration, nowMilliseconds: Long) =
        shards.withKey(receiver.name) { it[receiver.name] = Sent(configuration, receiver.connection, nowMilliseconds) }

    /** Records that what was claimed for [receiver] could not be sent. */
    fun forget(receiver: EntryReceiver) = shards.withKey(receiver.name) { it -= receiver.name }

    private data class Sent(val configuration: StoredConfiguration, val connection: Long, val atMilliseconds: Long)
}
