package cassiaspindle.core.concurrency

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * State split into shards by key, each under its own lock.
 *
 * A thread holds at most one shard lock across all instances. A nested call fails at once, which rules out deadlocks
 * between shards. Blocks must not contain blocking operations.
 */
class Sharded<State>(count: Int, create: (index: Int) -> State) {
    private val shards = List(count) { index -> Shard(ReentrantLock(), create(index)) }

    /** Number of shards. */
    val size: Int get() = shards.size

    /** Runs [block] on the state of the shard that holds [key]. */
    fun <Result> withKey(key: String, block: (State) -> Result): Result =
        withIndex(Math.floorMod(key.hashCode(), shards.size), block)

    /** Runs [block] on the state of the shard at [index]. */
    fun <Result> withIndex(index: Int, block: (State) -> Result): Result {
        val shard = shards[index]
        check(!holdsShardLock.get()) { "nested shard locks" }
        return shard.lock.withLock {
            holdsShardLock.set(true)
            try {
                block(shard.state)
            } finally {
                holdsShardLock.set(false)
            }
        }
    }

    /** Runs [block] on one shard after the other and returns the results in shard order. */
    fun <Result> mapEach(block: (State) -> Result): List<Result> = shards.indices.map { withIndex(it, block) }

    private class Shard<State>(val lock: ReentrantLock, val state: State)

    private companion object {
        val holdsShardLock: ThreadLocal<Boolean> = ThreadLocal.withInitial { false }
    }
}
