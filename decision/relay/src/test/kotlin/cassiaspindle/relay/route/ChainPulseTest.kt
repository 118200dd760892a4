package cassiaspindle.relay.route

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class ChainPulseTest : AnnotationSpec() {
    private var pulse = ChainPulse()

    @BeforeEach
    fun forget() {
        pulse = ChainPulse()
        pulse.findStalled(0)
    }

    /** Checks every 20 ms until [end], and gives what stalled when. */
    private fun stalls(begin: Long, end: Long): List<Pair<Long, String>> =
        (begin..end step 20).flatMap { time -> pulse.findStalled(time).map { time to it } }

    @Test
    fun `a chain on which no stream gives anything has stalled`() {
        pulse.begin("c", 0)
        pulse.begin("c", 0)
        stalls(20, 100) shouldBe listOf(80L to "c")
        pulse.isAvoided("c", 100) shouldBe true
        pulse.isAvoided("c", 1_080) shouldBe false
    }

    @Test
    fun `one stream that goes on keeps its chain in use`() {
        pulse.begin("c", 0)
        pulse.begin("c", 0)
        (20L..400L step 20).forEach {
            pulse.heard("c", pauseMilliseconds = 20, nowMilliseconds = it)
            pulse.findStalled(it).shouldBeEmpty()
        }
    }

    @Test
    fun `a slow chain has more time`() {
        pulse.begin("c", 0)
        (1L..60L).forEach {
            pulse.heard("c", pauseMilliseconds = 60, nowMilliseconds = it * 60)
            pulse.findStalled(it * 60)
        }
        stalls(3_600, 3_800).shouldBeEmpty()
        stalls(3_800, 3_900).map { it.second } shouldBe listOf("c")
    }

    @Test
    fun `a chain without streams never stalls`() {
        pulse.begin("c", 0)
        pulse.end("c")
        stalls(20, 400).shouldBeEmpty()
    }

    @Test
    fun `after this process was held up events may wait to be read`() {
        pulse.begin("c", 0)
        pulse.findStalled(300).shouldBeEmpty()
        stalls(320, 400) shouldBe listOf(380L to "c")
    }

    @Test
    fun `a chain that is cleared is used again at once`() {
        pulse.begin("c", 0)
        stalls(20, 80)
        pulse.clear("c")
        pulse.isAvoided("c", 90) shouldBe false
    }
}
