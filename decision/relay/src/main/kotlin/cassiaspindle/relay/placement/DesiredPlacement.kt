package cassiaspindle.relay.placement

import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import kotlin.math.roundToInt

/** The layers assigned to each runner of one service, by availability zone. */
internal class DesiredPlacement {
    private val zones = mutableMapOf<String, ZonePlan>()
    private val reportedRanges = mutableMapOf<String, LayerRange>()

    /** Whether no runner has an assignment and none has reported layers. */
    val isEmpty: Boolean get() = zones.values.all { it.ranges.isEmpty() } && reportedRanges.isEmpty()

    /** The layers assigned to the runner [id], or null. */
    fun targetOf(id: String): LayerRange? = zones.values.firstNotNullOfOrNull { it.ranges[id] }

    /** Records that the runner [id] already holds [range]. */
    fun adopt(id: String, range: LayerRange) {
        reportedRanges[id] = range
    }

    /** Removes all runners except [ids]. */
    fun retain(ids: Set<String>) {
        zones.replaceAll { _, plan -> plan.copy(ranges = plan.ranges.filterKeys { it in ids }) }
        reportedRanges.keys.retainAll(ids)
    }

    /** Makes an initial plan for all [runners] if there is none yet; otherwise repairs the plan of each zone. */
    fun update(runners: List<RunnerNotice>, engine: EngineDescription) {
        val isFirst = isEmpty
        val initialPlan = if (isFirst) planPlacement(runners, engine) else emptyMap()
        runners.groupBy(RunnerNotice::availabilityZone).forEach { (zone, members) ->
            val ranges = members.mapNotNull { runner -> initialPlan[runner.id]?.let { runner.id to it } }.toMap()
            zones[zone] = if (isFirst) ZonePlan(ranges, meanHolders(ranges, engine)) else repair(zone, members, engine)
        }
        reportedRanges.clear()
    }

    fun clear() {
        zones.clear()
        reportedRanges.clear()
    }

    /** Repairs a zone with the number of holders that was planned, or that a new leader infers from reported ranges. */
    private fun repair(zone: String, members: List<RunnerNotice>, engine: EngineDescription): ZonePlan {
        val adopted = members.mapNotNull { runner -> reportedRanges[runner.id]?.let { runner.id to it } }.toMap()
        val planned = zones[zone]
        val held = adopted + planned?.ranges.orEmpty()
        val holders = planned?.holders ?: meanHolders(held, engine)
        return when {
            held.isEmpty() -> planFromScratch(members, engine)
            holders == 1 -> ZonePlan(rebalance(members, held, engine), holders)
            else -> repairStages(members, held, holders, engine)?.let { ZonePlan(it, holders) }
                ?: planFromScratch(members, engine)
        }
    }

    private fun planFromScratch(members: List<RunnerNotice>, engine: EngineDescription): ZonePlan {
        val ranges = planZone(members, engine).orEmpty()
        return ZonePlan(ranges, meanHolders(ranges, engine))
    }

    private fun meanHolders(ranges: LayerAssignments, engine: EngineDescription): Int =
        maxOf(1, (ranges.values.sumOf(LayerRange::size).toDouble() / engine.layers).roundToInt())

    /** The layers assigned to the runners of a zone, and the number of [holders] of each layer. */
    private data class ZonePlan(val ranges: LayerAssignments, val holders: Int)
}
