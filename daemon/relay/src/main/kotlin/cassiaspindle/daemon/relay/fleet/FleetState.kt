package cassiaspindle.daemon.relay.fleet

import cassiaspindle.codec.decompressText
import cassiaspindle.core.result.Failure
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.relay.configuration.ActiveConfiguration
import cassiaspindle.relay.configuration.RouteTable
import cassiaspindle.relay.configuration.contentDigestOf
import cassiaspindle.relay.crash.ContentGuard
import cassiaspindle.relay.fleet.EntryList
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RunnerLimit
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.StoredConfiguration
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

/** Maximum size of an unpacked configuration, in bytes. */
internal const val MAXIMUM_CONFIGURATION_BYTES = 16 * 1024 * 1024

/** The backend servers, entry VMs and configuration that this process has received. */
class FleetState(
    private val log: EventLog,
    private val now: () -> Long,
    private val readConfiguration: (String) -> Result<RelayConfiguration, Failure>,
) {
    /** The configuration in force. */
    val configuration = ActiveConfiguration()

    /** All backend servers, runners and plain services. */
    val runners = RunnerTable()

    /** The entry VMs. */
    val entries = EntryList()

    /** What is known about contents of requests that crash runners. */
    val contentGuard = ContentGuard()

    private val limitListener = AtomicReference<(RunnerLimit) -> Unit> {}
    private val clearingListener = AtomicReference<(List<String>) -> Unit> {}
    private val informed = AtomicBoolean()
    private val firstConfiguration = CompletableDeferred<Unit>()
    private val listeners = CopyOnWriteArrayList<(RunnerNotice) -> Unit>()

    /** Registers [listener], which is called with each notice that affects decisions; it must not block. */
    fun addRunnerListener(listener: (RunnerNotice) -> Unit) {
        listeners += listener
    }

    /** Sets the [listener] for suspected contents that this process can clear; it must not block. */
    fun onClearable(listener: (List<String>) -> Unit) = clearingListener.set(listener)

    /** Sets the [listener] for limits of backend servers that others report; it must not block. */
    fun onLimit(listener: (RunnerLimit) -> Unit) = limitListener.set(listener)

    /** Waits until a configuration is in force. */
    suspend fun awaitConfiguration() = firstConfiguration.await()

    /** Whether a control replica has sent the whole fleet, so that a backend server that is not known here is new. */
    val isInformed: Boolean get() = informed.get()

    /** Applies [news] from the control replica [source]. */
    fun applyNews(source: String, news: FleetNews) {
        if (news.presencesKnown) informed.set(true)
        news.configuration?.let { applyConfiguration(it, source) }
        news.runners.forEach { applyNotice(it) }
        news.limits.forEach(limitListener.get())
        if (news.presencesKnown) entries.replace(news.entryPresences)
        contentGuard.applyCleared(news.clearedContents)
        if (news.suspicionsKnown) {
            val clearable = contentGuard.applySuspicions(news.suspicions, now())
            if (clearable.isNotEmpty()) clearingListener.get()(clearable)
        }
    }

    /** Applies [notice]; returns true if it affects decisions. */
    fun applyNotice(notice: RunnerNotice): Boolean {
        val changed = runners.offer(notice, now())
        if (changed) {
            log.write(
                "runner_changed",
                "runner" to notice.id,
                "address" to notice.address,
                "state" to notice.state,
                "sequence" to notice.sequence,
                "layers" to "${notice.firstLayer}-${notice.endLayer}",
            )
            listeners.forEach { it(notice) }
        }
        return changed
    }

    /**
     * Puts [stored], which the control replicas have stored, in force if it is newer or has other content. [source] is
     * the control replica that sent it, or null if this process stored or applied it.
     */
    fun applyConfiguration(stored: StoredConfiguration, source: String? = null) {
        val digest = contentDigestOf(stored)
        if (!configuration.isReplacedBy(stored.version, digest)) return
        decompressText(stored.content, MAXIMUM_CONFIGURATION_BYTES).flatMap(readConfiguration)
            .onSuccess {
                val replacedVersion = configuration.version
                val isChanged = configuration.offer(RouteTable(it), digest)
                firstConfiguration.complete(Unit)
                if (isChanged) {
                    log.write(
                        "configuration_in_force",
                        "version" to it.version,
                        "digest" to digest,
                        "replaced" to replacedVersion,
                        "source" to source,
                    )
                }
            }
            .onFailure {
                log.write("configuration_unreadable", "version" to stored.version, "detail" to it.detail)
            }
    }
}
