package cassiaspindle.relay

import cassiaspindle.schema.AcceleratorKind
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RelayAccount
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RelayLimits
import cassiaspindle.schema.RelayRoute
import cassiaspindle.schema.RelayRouteKind
import cassiaspindle.schema.RelayService
import cassiaspindle.schema.RelayTarget
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState

internal val engine = EngineDescription(
    layers = 80,
    layerMegabytes = 1750.0,
    tokenBytes = 845_373.0,
    kinds = listOf(
        AcceleratorKind("large", memoryMegabytes = 72_000.0, pace = 1.4),
        AcceleratorKind("middle", memoryMegabytes = 36_000.0, pace = 3.1, readFactor = 3.2),
        AcceleratorKind("small", memoryMegabytes = 14_400.0, pace = 15.0, readFactor = 15.0),
    ),
)

internal fun runner(id: String, kind: String = "small", zone: String = "a") = RunnerNotice(
    id = id,
    service = "model",
    address = "$id:80",
    availabilityZone = zone,
    state = RunnerState.READY,
    bornMilliseconds = 1,
    sequence = 1,
    slots = 134,
    kind = kind,
)

internal fun RunnerNotice.holding(first: Int, end: Int) = copy(firstLayer = first, endLayer = end)

internal val streamRoute = RelayRoute(
    name = "stream",
    host = "h",
    pathPrefix = "/s/",
    kind = RelayRouteKind.STREAM,
    timeoutMilliseconds = 20_000,
    targets = listOf(RelayTarget("model", 1)),
    maximumAttempts = 2,
    resumable = true,
)

internal val orderRoute = streamRoute.copy(
    name = "order",
    pathPrefix = "/o/",
    kind = RelayRouteKind.NON_IDEMPOTENT,
    targets = listOf(RelayTarget("plain", 3), RelayTarget("model", 1)),
    resumable = false,
)

internal val configuration = RelayConfiguration(
    version = 7,
    routes = listOf(streamRoute, orderRoute),
    services = listOf(RelayService("model", engine = engine), RelayService("plain")),
    accounts = listOf(RelayAccount("one", listOf("d1", "d2")), RelayAccount("two", listOf("d3"))),
    limits = RelayLimits(),
)
