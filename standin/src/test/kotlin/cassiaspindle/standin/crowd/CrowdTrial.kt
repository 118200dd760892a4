package cassiaspindle.standin.crowd

private const val SAMPLE_INTERVAL_NANOSECONDS = 50_000_000L

/** A process of the system that a crowd tries to exhaust. */
data class CrowdTarget(
    val process: Process,
    /** Ports on which the process listens. */
    val ports: Set<Int>,
    /** Whether an ordinary request of somebody else is answered within some tries. */
    val answersOrdinaryRequest: () -> Boolean,
    /** The end of the log of the process, for messages. */
    val logEnd: () -> String,
)

/** Bounds on what a process may take of its machine. */
data class UseBounds(
    val descriptors: Int,
    /** Resident memory, and what the kernel holds for the process, in kilobytes. */
    val memoryKilobytes: Long,
)

/** Lets a crowd loose on [target] and compares what the process takes with [bounds]. */
class CrowdTrial(private val target: CrowdTarget, private val bounds: UseBounds) {
    private val use = ProcessUse(target.process.pid(), target.ports)
    private var peakMemoryKilobytes = 0L
    private var peakDescriptors = 0
    private var lastSample = System.nanoTime()

    /**
     * Sends [scripts] to [address], each on a connection of its own that stays open, and then an ordinary request.
     * Returns what must not happen and did, with its figures.
     */
    fun run(address: String, scripts: List<CallerScript>): List<String> = CallerCrowd(address, scripts).use { crowd ->
        crowd.send(::sampleAtInterval)
        val answers = target.process.isAlive && target.answersOrdinaryRequest()
        sample()
        listOfNotNull(
            "the process has ended: ${target.logEnd()}".takeIf { !target.process.isAlive },
            "no ordinary request is answered: ${target.logEnd()}".takeIf { !answers },
            "descriptors: $peakDescriptors".takeIf { peakDescriptors >= bounds.descriptors },
            "memory: $peakMemoryKilobytes kB".takeIf { peakMemoryKilobytes >= bounds.memoryKilobytes },
        )
    }

    private fun sampleAtInterval() {
        val now = System.nanoTime()
        if (now - lastSample < SAMPLE_INTERVAL_NANOSECONDS) return
        lastSample = now
        sample()
    }

    /** A process that ends meanwhile has no figures. */
    private fun sample() {
        runCatching {
            val memory = maxOf(use.residentKilobytes + use.unreadKilobytes, use.peakResidentKilobytes)
            peakMemoryKilobytes = maxOf(peakMemoryKilobytes, memory)
            peakDescriptors = maxOf(peakDescriptors, use.openDescriptors)
        }
    }
}
