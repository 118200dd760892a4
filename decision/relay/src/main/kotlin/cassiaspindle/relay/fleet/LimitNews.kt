package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.RunnerLimit

/** The limits that entry VMs report to a control replica, and those of them that changed since the last news. */
class LimitNews {
    private val shard = Sharded(1) { State() }

    /** Records what an entry VM [reported]. */
    fun record(reported: List<RunnerLimit>) = shard.withIndex(0) { state ->
        reported.filter { state.known[it.runner] != it }.forEach {
            state.known[it.runner] = it
            state.changed[it.runner] = it
        }
    }

    /** The limits that changed since the last call; what is known of others than [runners] is forgotten. */
    fun takeChanged(runners: Set<String>): List<RunnerLimit> = shard.withIndex(0) { state ->
        state.known.keys.retainAll(runners)
        state.changed.values.toList().also { state.changed.clear() }
    }

    private class State {
        val known = mutableMapOf<String, RunnerLimit>()
        val changed = mutableMapOf<String, RunnerLimit>()
    }
}
