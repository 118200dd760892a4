package cassiaspindle.history.load

import kotlin.math.sqrt

/** Time between two publications, in milliseconds. */
private const val WINDOW_MILLISECONDS = 500L

/** Result of one [LoadSimulation]. */
data class LoadSimulationResult(
    /** Root mean square error of today's guess, relative to the mean load of a backend server. */
    val guessError: Double,
    /** The same of the shared estimate. */
    val sharedError: Double,
    /** Standard deviation of the load among the backend servers, relative to its mean. */
    val imbalance: Double,
    /** Requests that the most chosen backend server gets in half a second, relative to an even part; the mean. */
    val crowding: Double,
)

/** Collects what a [LoadSimulationResult] states. */
internal class LoadStatistics {
    private var samples = 0L
    private var trueTotal = 0.0
    private var squaredGuessErrors = 0.0
    private var squaredSharedErrors = 0.0
    private val imbalances = mutableListOf<Double>()
    private val choices = mutableMapOf<Long, MutableMap<String, Int>>()
    private var backEndCount = 1

    fun recordChoice(nowMilliseconds: Long, backEnd: String) {
        choices.getOrPut(nowMilliseconds / WINDOW_MILLISECONDS) { mutableMapOf() }.merge(backEnd, 1, Int::plus)
    }

    fun recordLoads(requests: List<Int>) {
        val mean = requests.average()
        backEndCount = requests.size
        if (mean > 0) imbalances += sqrt(requests.sumOf { (it - mean) * (it - mean) } / requests.size) / mean
    }

    fun recordEstimates(actual: Double, guessed: Double, shared: Double) {
        samples++
        trueTotal += actual
        squaredGuessErrors += (guessed - actual) * (guessed - actual)
        squaredSharedErrors += (shared - actual) * (shared - actual)
    }

    fun result() = LoadSimulationResult(
        relative(squaredGuessErrors),
        relative(squaredSharedErrors),
        imbalances.average(),
        choices.values.map { it.values.max().toDouble() * backEndCount / it.values.sum() }.average(),
    )

    private fun relative(squaredErrors: Double) = sqrt(squaredErrors / samples) / (trueTotal / samples)
}
