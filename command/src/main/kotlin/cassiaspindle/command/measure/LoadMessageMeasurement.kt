@file:OptIn(ExperimentalSerializationApi::class)

package cassiaspindle.command.measure

import cassiaspindle.codec.wireCbor
import cassiaspindle.load.LoadReports
import cassiaspindle.load.LoadTotalsSettings
import cassiaspindle.load.LoadTotalsTable
import cassiaspindle.load.LocalLoad
import cassiaspindle.load.PlannedTotals
import cassiaspindle.load.SharedLoadView
import cassiaspindle.load.TotalsPublication
import cassiaspindle.load.backEndKeyOf
import cassiaspindle.schema.EntryLoad
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.LoadSum
import cassiaspindle.schema.LoadTotals
import cassiaspindle.schema.ServiceArrivals
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.lang.management.ManagementFactory
import kotlin.random.Random

private const val REPORTS_PER_SECOND = 2.5
private const val PUBLICATIONS_PER_SECOND = 2.0
private const val PUBLICATIONS_PER_COMPLETE = 3
private const val LEASE_MILLISECONDS = 1_500L
private const val SERVICES = 7
private const val PRIORITIES = 3
private const val MAXIMUM_TOKENS = 10_000
private const val REPETITIONS = 1_000
private const val WARM_UP_REPETITIONS = 1_000
private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
private const val MICROSECONDS_PER_PERCENT = 10_000.0

/** A fleet: entry VMs, replicas, backend servers and zones, and backend servers with requests of one entry VM. */
private data class MessageFleet(
    val entries: Int,
    val replicas: Int,
    val backEnds: Int,
    val zones: Int,
    val loadedPerEntry: Int,
) {
    val followers = entries / replicas
}

private val fleets = listOf(
    MessageFleet(entries = 68, replicas = 3, backEnds = 98, zones = 3, loadedPerEntry = 40),
    MessageFleet(entries = 300, replicas = 5, backEnds = 216, zones = 7, loadedPerEntry = 40),
    MessageFleet(entries = 600, replicas = 5, backEnds = 600, zones = 7, loadedPerEntry = 60),
)

/** Prints the bytes and the processor time that the messages of the shared load take at an entry VM and a replica. */
internal fun measureLoadMessages(print: RowPrinter) = fleets.forEach { print(rowOf(LoadMessages(it))) }

/** The messages of [fleet], made by the production code from random loads. */
private class LoadMessages(val fleet: MessageFleet) {
    private val random = Random(seed = 1)
    private val ids = List(fleet.backEnds) { "i-%010x".format(random.nextLong() and ID_MASK) }
    private val zones = ids.withIndex().associate { (index, id) -> backEndKeyOf(id) to "zone-${index % fleet.zones}" }
    private val arrivals = List(SERVICES) { service ->
        List(PRIORITIES) { ServiceArrivals("service-$service", it, perMinute = 200) }
    }.flatten()
    private val table = LoadTotalsTable(LoadTotalsSettings("10.0.0.1:7000", LEASE_MILLISECONDS, -LEASE_MILLISECONDS, 0))
    private val publication = TotalsPublication(table)
    private val reports = LoadReports(firstNumber = 1)
    private val view = SharedLoadView(reports)

    fun report(): EntryLoad = reports.next(
        ids.shuffled(random).take(fleet.loadedPerEntry).associateWith {
            LocalLoad(requests = 1, tokens = random.nextInt(MAXIMUM_TOKENS))
        },
        arrivals,
    )

    /** A report of each follower and a sum of each other replica. */
    fun fill() {
        repeat(fleet.followers) { table.offer("entry-$it", report(), nowMilliseconds = 0) }
        val sum = checkNotNull(table.ownSum(nowMilliseconds = 0))
        repeat(fleet.replicas - 1) { table.offer(sum.copy(replica = "replica-$it"), nowMilliseconds = 0) }
    }

    fun offer(report: EntryLoad) = table.offer("entry-0", report, nowMilliseconds = 0)

    fun sum(): LoadSum = checkNotNull(table.ownSum(nowMilliseconds = 0))

    fun publication(): PlannedTotals = checkNotNull(publication.next(zones, nowMilliseconds = 0))

    fun apply(totals: LoadTotals) = view.apply("replica", totals, receipt = null, nowMilliseconds = 0)

    fun bytesOf(totals: LoadTotals): Int = wireCbor.encodeToByteArray(FleetNews(loadTotals = totals)).size

    fun bytesOf(sum: LoadSum): Int = wireCbor.encodeToByteArray(FleetNews(loadSum = sum)).size

    fun bytesOf(report: EntryLoad): Int {
        val presence = EntryPresence("e", incarnation = 1, "z", "c", ready = true)
        return wireCbor.encodeToByteArray(presence.copy(load = report)).size - wireCbor.encodeToByteArray(presence).size
    }

    private companion object {
        const val ID_MASK = 0xffffffffffL
    }
}

private fun rowOf(messages: LoadMessages): String {
    val fleet = messages.fleet
    messages.fill()
    val complete = (messages.publication() as PlannedTotals.Complete).totals
    val zoneTotals = (messages.publication() as? PlannedTotals.ByZone)?.totals?.values
    val completeBytes = messages.bytesOf(complete)
    val zoneBytes = zoneTotals?.let { all -> all.sumOf(messages::bytesOf) / all.size } ?: completeBytes
    val meanBytes = (completeBytes + (PUBLICATIONS_PER_COMPLETE - 1.0) * zoneBytes) / PUBLICATIONS_PER_COMPLETE
    val reportBytes = messages.bytesOf(messages.report())
    val sumBytes = messages.bytesOf(messages.sum())
    val entryBytes = reportBytes * REPORTS_PER_SECOND + meanBytes * PUBLICATIONS_PER_SECOND
    val replicaBytes = fleet.followers * entryBytes + 2 * (fleet.replicas - 1) * sumBytes * PUBLICATIONS_PER_SECOND
    return "entries=${fleet.entries} replicas=${fleet.replicas} servers=${fleet.backEnds} zones=${fleet.zones} " +
        "report_bytes=$reportBytes complete_bytes=$completeBytes zone_bytes=$zoneBytes sum_bytes=$sumBytes " +
        "entry_bytes_per_s=%.0f replica_bytes_per_s=%.0f entry_core=%.2f%% replica_core=%.2f%%".format(
            entryBytes,
            replicaBytes,
            entryMicroseconds(messages, complete) / MICROSECONDS_PER_PERCENT,
            replicaMicroseconds(messages) / MICROSECONDS_PER_PERCENT,
        )
}

/** Processor time per second at an entry VM, without the connection itself. */
private fun entryMicroseconds(messages: LoadMessages, complete: LoadTotals): Double {
    val totals = wireCbor.encodeToByteArray(complete)
    return REPORTS_PER_SECOND * microsecondsOf { messages.bytesOf(messages.report()) } +
        PUBLICATIONS_PER_SECOND * microsecondsOf { messages.apply(wireCbor.decodeFromByteArray(totals)) }
}

/** Processor time per second at a control replica, without the connections themselves. */
private fun replicaMicroseconds(messages: LoadMessages): Double {
    val report = wireCbor.encodeToByteArray(messages.report())
    val sum = wireCbor.encodeToByteArray(messages.sum())
    return REPORTS_PER_SECOND * messages.fleet.followers *
        microsecondsOf { messages.offer(wireCbor.decodeFromByteArray<EntryLoad>(report)) } +
        PUBLICATIONS_PER_SECOND * (messages.fleet.replicas - 1) *
        microsecondsOf { wireCbor.decodeFromByteArray<LoadSum>(sum) } +
        PUBLICATIONS_PER_SECOND * microsecondsOf { messages.bytesOf(messages.sum()) } +
        PUBLICATIONS_PER_SECOND * microsecondsOf { encode(messages, messages.publication()) }
}

private fun encode(messages: LoadMessages, planned: PlannedTotals) = when (planned) {
    is PlannedTotals.Complete -> messages.bytesOf(planned.totals)
    is PlannedTotals.ByZone -> planned.totals.values.sumOf(messages::bytesOf)
}

/** Mean processor time of [action] once it is compiled. */
private fun microsecondsOf(action: () -> Unit): Double {
    val threads = ManagementFactory.getThreadMXBean()
    repeat(WARM_UP_REPETITIONS) { action() }
    val start = threads.currentThreadCpuTime
    repeat(REPETITIONS) { action() }
    return (threads.currentThreadCpuTime - start) / NANOSECONDS_PER_MICROSECOND / REPETITIONS
}
