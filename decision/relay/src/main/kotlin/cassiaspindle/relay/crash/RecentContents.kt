package cassiaspindle.relay.crash

/** Contents that are remembered; the least recently used ones are removed first. */
private const val MAXIMUM_CONTENTS = 2_048

/** A bounded set of contents; not thread-safe. */
internal class RecentContents {
    private val contents = object : LinkedHashMap<String, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>) = size > MAXIMUM_CONTENTS
    }

    /** Adds [content], or marks it as used; returns whether it is new. */
    fun add(content: String): Boolean = contents.put(content, Unit) == null

    /** Whether [content] is remembered. */
    fun contains(content: String): Boolean = contents.containsKey(content)

    /** All contents, the least recently used one first. */
    fun all(): List<String> = contents.keys.toList()

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
