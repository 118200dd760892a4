package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.schema.RunnerNotice

/**
 * Two of [candidates] drawn at random, or all if they are fewer. Entry VMs with the same view of the load would
 * otherwise all choose the least loaded one until the next view; with two random choices one server gets at most twice
 * its part meanwhile.
 */
internal fun <Candidate> twoOf(candidates: List<Candidate>, random: RandomSource): List<Candidate> {
    if (candidates.size <= 2) return candidates
    val first = random(candidates.size)
    val second = random(candidates.size - 1).let { if (it < first) it else it + 1 }
    return listOf(candidates[first], candidates[second])
}

/** The ids of [runners] that a request passes over: all but two of each group that holds the same layers in a zone. */
internal fun passedOver(runners: List<RunnerNotice>, random: RandomSource): Set<String> = runners
    .groupBy { Interchangeable(it.availabilityZone, it.kind, it.firstLayer, it.endLayer) }
    .values
    .flatMap { group -> group - twoOf(group, random).toSet() }
    .map(RunnerNotice::id)
    .toSet()

/** What runners have in common that differ in their load only. */
private data class Interchangeable(val zone: String, val kind: String?, val firstLayer: Int?, val endLayer: Int?)
