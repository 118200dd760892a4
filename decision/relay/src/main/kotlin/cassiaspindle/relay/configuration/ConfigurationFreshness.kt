package cassiaspindle.relay.configuration

import cassiaspindle.schema.FleetNews
import java.util.concurrent.atomic.AtomicReference

/**
 * Age above which a configuration may be out of date, in milliseconds. It leaves a process that then asks all control
 * replicas enough of the 2 s within which a change is in force; with a leader the age stays below a second.
 */
const val MAXIMUM_CONFIRMED_AGE_MILLISECONDS = 1_100L

/**
 * How fresh the configuration of an entry VM is: the latest time of which it is known that all configurations committed
 * before it are in force here, on the monotonic clock of this process.
 *
 * No clocks are compared: a control replica states an age, which is subtracted from the time of the report that it
 * answers.
 */
class ConfigurationFreshness {
    private val confirmedMilliseconds = AtomicReference<Long?>(null)

    /** Records [news], which are applied; [heldVersion] is the version in force. */
    fun record(news: FleetNews, heldVersion: Long) {
        val age = news.confirmedAgeMilliseconds ?: return
        val isAnswer = news.answeredMilliseconds != 0L
        if (!isAnswer || heldVersion < news.configurationVersion) return
        confirmedMilliseconds.updateAndGet { maxOf(it ?: Long.MIN_VALUE, news.answeredMilliseconds - age) }
    }

    /** Time since the configuration was confirmed, or null if it never was. */
    fun ageMilliseconds(nowMilliseconds: Long): Long? = confirmedMilliseconds.get()?.let { nowMilliseconds - it }

    /** Whether the configuration may be out of date. */
    fun isDoubtful(nowMilliseconds: Long): Boolean = !isConfirmedAge(ageMilliseconds(nowMilliseconds))
}

/** Whether a configuration of [ageMilliseconds], null if it was never confirmed, counts as up to date. */
internal fun isConfirmedAge(ageMilliseconds: Long?): Boolean =
    ageMilliseconds != null && ageMilliseconds <= MAXIMUM_CONFIRMED_AGE_MILLISECONDS
