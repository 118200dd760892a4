package cassiaspindle.entry.routing

import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.ModelStage
import cassiaspindle.schema.RunnerDescription
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.random.Random

class ShortestChainTest : AnnotationSpec() {
    @Test
    fun `a chain runs every layer once and in order or there is no chain`() {
        val random = Random(SEED)
        repeat(3_000) {
            val runners = List(random.nextInt(7)) { index ->
                val first = random.nextInt(LAYERS)
                runner("runner-$index", first, random.nextInt(first + 1, LAYERS + 1), inFlight = random.nextInt(4))
            }
            val chain = shortestChain(request(runners, random))
            val available = runners.filter { it.hasRoom }.map { checkNotNull(it.announcement.runner) }
            val covered = (0 until LAYERS).all { layer -> available.any { layer in it.firstLayer until it.endLayer } }
            (chain != null) shouldBe covered
            chain?.let(::checkCover)
        }
    }

    @Test
    fun `a loaded runner and a runner in another zone are avoided`() {
        val near = runner("near", 0, LAYERS)
        val far = runner("far", 0, LAYERS, zone = "kalyani")
        val loaded = runner("loaded", 0, LAYERS, inFlight = 2)
        chosenNames(near, far, loaded) shouldBe listOf("near")
        chosenNames(far, loaded) shouldBe listOf("far")
    }

    @Test
    fun `one runner in the zone is preferred to several hops in another zone`() {
        val whole = runner("whole", 0, LAYERS)
        val halves = listOf(runner("first", 0, 6, zone = "kalyani"), runner("second", 6, LAYERS, zone = "kalyani"))
        chosenNames(whole, halves[0], halves[1]) shouldBe listOf("whole")
    }

    @Test
    fun `a runner with another model version is not chosen`() {
        val other = runner("other", 0, LAYERS)
        val description = checkNotNull(other.announcement.runner).copy(modelVersion = "v2")
        val updated = other.copy(announcement = other.announcement.copy(runner = description))
        shortestChain(request(listOf(updated))) shouldBe null
    }

    private fun checkCover(chain: Chain) {
        var next = 0
        chain.hops.forEach { hop ->
            val held = checkNotNull(hop.backEnd.announcement.runner)
            hop.firstLayer shouldBe next
            (hop.firstLayer >= held.firstLayer && hop.endLayer <= held.endLayer) shouldBe true
            hop.endLayer shouldNotBe hop.firstLayer
            next = hop.endLayer
        }
        next shouldBe LAYERS
    }

    private fun chosenNames(vararg runners: BackEndView): List<String> =
        shortestChain(request(runners.toList())).shouldNotBeNull().hops.map { it.backEnd.name }

    private fun request(runners: List<BackEndView>, random: Random = Random(SEED)) =
        ChainRequest(ModelStage("model", "v1", LAYERS), runners, "howrah", { random.nextInt(it) })

    private fun runner(name: String, first: Int, end: Int, zone: String = "howrah", inFlight: Int = 0): BackEndView {
        val description = RunnerDescription("kind", "model", "v1", first, end, layerMicroseconds = 1_000)
        return BackEndView(BackEndAnnouncement(name, 1, "$name:1", zone, 3, description), inFlight, reportedLoad = 0)
    }

    private companion object {
        const val LAYERS = 12
        const val SEED = 1
    }
}
