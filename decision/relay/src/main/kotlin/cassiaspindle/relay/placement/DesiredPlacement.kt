package cassiaspindle.relay.placement

import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import kotlin.math.roundToInt

/** The layers assigned to each runner of one service, by availability zone. */
internal class DesiredPlacement {
    private val zones = mutableMapOf<String, ZonePlan>()
    private val reported = mutableMapOf<String, LayerRange>()

    /** Whether no runner has an assignment and none has reported layers. */
    val isEmpty: Boolean get() = zones.values.all { it.ranges.isEmpty() } && reported.isEmpty()

    /** The layers assigned to the runner [id], or null. */
    fun of(id: String): LayerRange? = zones.values.firstNotNullOfOrNull { it.ranges[id] }

    /** Records that the runner [id] already holds [range]. */
    fun found(id: String, range: LayerRange) {
        reported[id] = range
    }

    /** Removes all runners except [ids]. */
    fun retain(ids: Set<String>) {
        zones.replaceAll { _, plan -> plan.copy(ranges = plan.ranges.filterKeys { it in ids }) }
        reported.keys.retainAll(ids)
    }

    /** Makes an initial plan for all [runners] if there is none yet; otherwise repairs the plan of each zone. */
    fun update(runners: List<RunnerNotice>, engine: EngineDescription) {
        val isFirst = isEmpty
        val first = if (isFirst) planPlacement(runners, engine) else emptyMap()
        runners.groupBy(RunnerNotice::availabilityZone).forEach { (zone, members) ->
            val ranges = members.mapNotNull { runner -> first[runner.id]?.let { runner.id to it } }.toMap()
            zones[zone] = if (isFirst) ZonePlan(ranges, holdersIn(ranges, engine)) else mend(zone, members, engine)
        }
        reported.clear()
    }

    fun clear() {
        zones.clear()
        reported.clear()
    }

    /** Repairs a zone with the number of holders that was planned, or that a new leader infers from reported ranges. */
    private fun mend(zone: String, members: List<RunnerNotice>, engine: EngineDescription): ZonePlan {
        val found = members.mapNotNull { runner -> reported[runner.id]?.let { runner.id to it } }.toMap()
        val planned = zones[zone]
        val held = found + planned?.ranges.orEmpty()
        val holders = planned?.holders ?: holdersIn(held, engine)
        return when {
            held.isEmpty() -> planAnew(members, engine)
            holders == 1 -> ZonePlan(rebalance(members, held, engine), holders)
            else -> mendStages(members, held, holders, engine)?.let { ZonePlan(it, holders) }
                ?: planAnew(members, engine)
        }
    }

    private fun planAnew(members: List<RunnerNotice>, engine: EngineDescription): ZonePlan {
        val ranges = planZone(members, engine).orEmpty()
        return ZonePlan(ranges, holdersIn(ranges, engine))
    }

    private fun holdersIn(ranges: LayerAssignments, engine: EngineDescription): Int =
        maxOf(1, (ranges.values.sumOf(LayerRange::size).toDouble() / engine.layers).roundToInt())

    /** The layers assigned to the runners of a zone, and the number of [holders] of each layer. */
    private data class ZonePlan(val ranges: LayerAssignments, val holders: Int)
}
