package cassiaspindle.relay.placement

import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** What each runner of one service is to hold, by availability zone and copy. */
internal class WantedLayers {
    private val zones = mutableMapOf<String, List<CopyPlan>>()
    private val reported = mutableMapOf<String, LayerRange>()

    /** Whether nothing is planned and nothing was found. */
    val isEmpty: Boolean get() = zones.values.all { it.all(CopyPlan::isEmpty) } && reported.isEmpty()

    /** What the runner called [id] is to hold, or null. */
    fun of(id: String): LayerRange? = zones.values.firstNotNullOfOrNull { copies ->
        copies.firstNotNullOfOrNull { it[id] }
    }

    /** Takes over what a runner was found to hold. */
    fun found(id: String, range: LayerRange) {
        reported[id] = range
    }

    /** Forgets runners other than those called [ids]. */
    fun retain(ids: Set<String>) {
        zones.replaceAll { _, copies -> copies.map { plan -> plan.filterKeys { it in ids } } }
        reported.keys.retainAll(ids)
    }

    /** Plans for all [runners] where nothing is planned yet, else mends the copies that miss something. */
    fun update(runners: List<RunnerNotice>, engine: EngineDescription) {
        val byZone = runners.groupBy(RunnerNotice::availabilityZone)
        if (isEmpty) {
            val plans = planPlacement(runners, engine)
            byZone.forEach { (zone, members) ->
                val ids = members.map(RunnerNotice::id).toSet()
                zones[zone] = plans.map { plan -> plan.filterKeys { it in ids } }.filter(CopyPlan::isNotEmpty)
            }
        } else {
            byZone.forEach { (zone, members) -> zones[zone] = mend(members, copiesIn(zone, members, engine), engine) }
        }
        reported.clear()
    }

    /** Forgets everything. */
    fun clear() {
        zones.clear()
        reported.clear()
    }

    /** The copies of [zone]; those that only runners tell of are found from what they hold. */
    private fun copiesIn(zone: String, members: List<RunnerNotice>, engine: EngineDescription): List<CopyPlan> {
        val planned = zones[zone].orEmpty().filter(CopyPlan::isNotEmpty)
        val known = planned.flatMap { it.keys }.toSet()
        val found = members.mapNotNull { runner -> reported[runner.id]?.let { runner.id to it } }.toMap()
        return when {
            planned.isNotEmpty() -> adopt(planned, found - known)
            found.isNotEmpty() -> copiesOf(found, engine)
            else -> planPlacement(members, engine)
        }
    }

    /** A runner that comes back with layers goes on in the first copy; what it holds twice is given up there. */
    private fun adopt(planned: List<CopyPlan>, found: CopyPlan): List<CopyPlan> =
        listOf(planned.first() + found) + planned.drop(1)

    /** Runners without layers go to the first copy that needs them. */
    private fun mend(
        members: List<RunnerNotice>,
        copies: List<CopyPlan>,
        engine: EngineDescription,
    ): List<CopyPlan> {
        val free = members.filter { runner -> copies.none { runner.id in it } }.toMutableList()
        return copies.map { copy ->
            val mended = rebalance(members.filter { it.id in copy } + free, copy, engine)
            free.removeAll { it.id in mended }
            mended
        }
    }
}
