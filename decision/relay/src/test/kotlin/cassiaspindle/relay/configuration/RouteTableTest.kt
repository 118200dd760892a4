package cassiaspindle.relay.configuration

import cassiaspindle.relay.configuration
import cassiaspindle.relay.orderRoute
import cassiaspindle.relay.streamRoute
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class RouteTableTest : AnnotationSpec() {
    @Test
    fun `the route with the longest matching prefix of the host is chosen`() {
        val inner = streamRoute.copy(name = "inner", pathPrefix = "/s/deep/")
        val elsewhere = streamRoute.copy(name = "elsewhere", host = "other")
        val table = RouteTable(configuration.copy(routes = listOf(streamRoute, inner, elsewhere)))
        table.route("h", "/s/deep/x") shouldBe inner
        table.route("h", "/s/other") shouldBe streamRoute
        table.route("other", "/s/deep/x") shouldBe elsewhere
        table.route("h", "/x") shouldBe null
    }

    @Test
    fun `services are chosen in proportion to their weights`() {
        val table = RouteTable(configuration)
        val services = (0 until table.totalWeight(orderRoute)).map { table.serviceAt(orderRoute, it) }
        services shouldBe listOf("plain", "plain", "plain", "model")
    }

    @Test
    fun `a configuration is never replaced by one of the same or an older version`() {
        val active = ActiveConfiguration()
        active.offer(RouteTable(configuration)) shouldBe true
        active.offer(RouteTable(configuration.copy(routes = emptyList()))) shouldBe false
        active.offer(RouteTable(configuration.copy(version = 6))) shouldBe false
        active.table?.configuration shouldBe configuration
        active.offer(RouteTable(configuration.copy(version = 9))) shouldBe true
        active.version shouldBe 9
    }

    /** Guards against review case 3: an entry VM that held other content under the stored version kept it. */
    @Test
    fun `the stored content of the active version replaces another one, that of an older version does not`() {
        val active = ActiveConfiguration()
        active.offer(RouteTable(configuration), contentDigest = 1)
        val stored = configuration.copy(routes = emptyList())
        active.offer(RouteTable(stored), contentDigest = 2) shouldBe true
        active.table?.configuration shouldBe stored
        active.offer(RouteTable(stored), contentDigest = 2) shouldBe false
        active.offer(RouteTable(configuration.copy(version = 6)), contentDigest = 3) shouldBe false
    }
}
