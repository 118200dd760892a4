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
}
