package cassiaspindle.relay.placement

import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import kotlin.math.roundToInt

/** What each runner of one service is to hold, by availability zone. */
internal class DesiredPlacement {
    private val zones = mutableMapOf<String, ZonePlan>()
    private val reported = mutableMapOf<String, LayerRange>()

    /** Whether nothing is planned and nothing was found. */
    val isEmpty: Boolean get() = zones.values.all { it.ranges.isEmpty() } && reported.isEmpty()

    /** What the runner called [id] is to hold, or null. */
    fun of(id: String): LayerRange? = zones.values.firstNotNullOfOrNull { it.ranges[id] }

    /** Takes over what a runner was found to hold. */
    fun found(id: String, range: LayerRange) {
        reported[id] = range
    }

    /** Forgets runners other than those called [ids]. */
    fun retain(ids: Set<String>) {
        zones.replaceAll { _, plan -> plan.copy(ranges = plan.ranges.filterKeys { it in ids }) }
        reported.keys.retainAll(ids)
    }

    /** Plans for all [runners] where nothing is planned yet, else mends what misses something. */
    fun update(runners: List<RunnerNotice>, engine: EngineDescription) {
        val isFirst = isEmpty
        val first = if (isFirst) planPlacement(runners, engine) else emptyMap()
        runners.groupBy(RunnerNotice::availabilityZone).forEach { (zone, members) ->
            val ranges = members.mapNotNull { runner -> first[runner.id]?.let { runner.id to it } }.toMap()
            zones[zone] = if (isFirst) ZonePlan(ranges, holdersIn(ranges, engine)) else mend(zone, members, engine)
        }
        reported.clear()
    }

    /** Forgets everything. */
    fun clear() {
        zones.clear()
        reported.clear()
    }

    /** How many runners hold each layer goes by the plan, or by what a new leader finds. */
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

    /** What the runners of a zone are to hold, and how many of them each layer. */
    private data class ZonePlan(val ranges: LayerAssignments, val holders: Int)
}
