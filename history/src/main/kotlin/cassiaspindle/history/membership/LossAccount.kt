package cassiaspindle.history.membership

/** Time after a start, or after a disruption has ended, until a machine no longer counts as lost, in milliseconds. */
internal const val CATCH_UP_MILLISECONDS = 4_000L

/** Time in which a removal without notice is detected, in milliseconds: two elections and the loss timeout. */
private const val DETECTION_MILLISECONDS = 6_000L

/** Counts the machines that are lost, so that no more are lost at the same time than the core tolerates. */
internal class LossAccount(private val toleratedLosses: Int) {
    private val lostUntil = mutableMapOf<String, Long>()
    private val removed = mutableSetOf<String>()

    /** Whether the machine [name] is lost at [nowMilliseconds]. */
    fun isLost(name: String, nowMilliseconds: Long): Boolean = (lostUntil[name] ?: 0) > nowMilliseconds

    /** Whether one more machine may be lost at [nowMilliseconds]. */
    fun canLoseOneMore(nowMilliseconds: Long): Boolean =
        lostUntil.values.count { it > nowMilliseconds } < toleratedLosses

    /** Records a disruption of the machine [name] that ends at [endMilliseconds]. */
    fun recordDisruption(name: String, nowMilliseconds: Long, endMilliseconds: Long) {
        lostUntil[name] = endMilliseconds + CATCH_UP_MILLISECONDS
        restartDetection(nowMilliseconds)
    }

    /** Records that the machine [name] was removed without notice. */
    fun recordRemoval(name: String, nowMilliseconds: Long) {
        removed += name
        lostUntil[name] = nowMilliseconds + DETECTION_MILLISECONDS
        restartDetection(nowMilliseconds)
    }

    /** A disruption may cause a new leader, which detects anew what an earlier one had not detected yet. */
    private fun restartDetection(nowMilliseconds: Long) = lostUntil
        .filter { (name, until) -> name in removed && until > nowMilliseconds }
        .forEach { (name, _) -> lostUntil[name] = nowMilliseconds + DETECTION_MILLISECONDS }
}
