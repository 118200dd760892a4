package cassiaspindle.history.request

import cassiaspindle.core.builder.serviceDocument
import cassiaspindle.core.identity.Digest
import cassiaspindle.core.identity.OrderKey
import cassiaspindle.entry.admission.AdmissionControl
import cassiaspindle.entry.catalog.ServiceCatalog
import cassiaspindle.entry.membership.BackEndRegistry
import cassiaspindle.entry.request.EntryIdentity
import cassiaspindle.entry.request.IncomingRequest
import cassiaspindle.entry.request.RequestController
import cassiaspindle.entry.request.RoutingPolicies
import cassiaspindle.schema.EntryNews
import cassiaspindle.schema.Priority
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.schema.StoredDocument
import cassiaspindle.standin.application.StandInPlainService
import cassiaspindle.standin.model.FleetRecorder
import kotlin.random.Random

/** Result of one simulation. */
data class RequestSimulationResult(
    val seed: Long,
    /** Violated guarantees; empty if there were none. */
    val violations: List<String>,
    val requests: Int,
    val answers: Int,
)

/**
 * Simulates requests at an entry VM under random faults, all drawn from one seed.
 *
 * Runners crash, freeze and recover; results are delayed, duplicated and lost; plain services lose answers; the ledger
 * answers late; callers disconnect and resend orders. Then all faults end and every request has to finish.
 */
class RequestSimulation(private val seed: Long, private val faults: RequestFaults = RequestFaults()) {
    private val random = Random(seed)
    private val recorder = FleetRecorder()
    private val oracle = RequestOracle(recorder)
    private val fleet = SimulatedFleet(random, recorder)
    private val registry = BackEndRegistry(LEASE_MILLISECONDS)
    private val catalog = ServiceCatalog()
    private val identity = EntryIdentity("entry", incarnation = 1, "howrah", PROGRESS_MILLISECONDS)
    private val controller =
        RequestController(identity, AdmissionControl(catalog), registry, RoutingPolicies({ random.nextInt(it) }))
    private val scheduler = SimulatedScheduler(random)
    private val environment = SimulatedEnvironment(
        random,
        scheduler,
        EnvironmentComponents(
            controller,
            fleet,
            SimulatedPlainServices(scheduler, recorder, oracle, faults),
            SimulatedLedger(faults, WALL_MILLISECONDS),
            oracle,
            faults,
        ),
    )
    private val orderKeys = List(ORDER_KEY_COUNT) { OrderKey.of(WALL_MILLISECONDS, it, random.nextLong()) }
    private var requests = 0

    /** Runs the simulation. */
    fun run(): RequestSimulationResult {
        applyDocuments()
        repeat(FAULTY_ROUNDS) {
            if (random.nextInt(FAULT_ONE_IN) == 0) fleet.injectRandomFault()
            if (random.nextInt(REQUEST_ONE_IN) == 0) sendRandom()
            runRound()
        }
        scheduler.isFaulty = false
        fleet.runners.forEach { it.recover() }
        repeat(RECOVERY_ROUNDS) { runRound() }
        val heldCapacity = registry.usable(scheduler.nowMilliseconds).sumOf { it.inFlight }
        oracle.checkEnd(controller.inFlight, heldCapacity)
        return RequestSimulationResult(seed, oracle.violations, requests, oracle.answers)
    }

    private fun runRound() {
        scheduler.advance(ROUND_MILLISECONDS)
        announce()
    }

    private fun announce() {
        val now = faults.announcementTime(scheduler.nowMilliseconds)
        fleet.runners.filter { it.isUp }.forEach { registry.announce(it.announcement(), now) }
        fleet.plainServices.forEach { registry.announce(it, now) }
    }

    private fun sendRandom() {
        requests++
        if (random.nextInt(ORDER_ONE_IN) == 0) sendOrder() else sendRequest()
    }

    private fun sendRequest() {
        val body = ServiceRequest("prompt ${random.nextInt()}", random.nextInt(1, MAXIMUM_TOKENS), random.nextLong())
        val tokens = RequestOracle.expectedTokens(body.input, body.samplingSeed, body.maximumTokens)
        val output = StandInPlainService.expectedOutput("explain", tokens.joinToString(" "))
        start(
            SentRequest("request-$requests", tokens, output, orderRequestId = null),
            ANALYSIS_SERVICE,
            body,
            orderKey = null,
        )
    }

    private fun sendOrder() {
        val key = orderKeys.random(random)
        val body = ServiceRequest("order ${key.text}")
        val output = StandInPlainService.expectedOutput("reject", body.input)
        start(SentRequest("request-$requests", emptyList(), output, "$ACCOUNT/${key.text}"), ORDER_SERVICE, body, key)
    }

    private fun start(sent: SentRequest, service: String, body: ServiceRequest, orderKey: OrderKey?) {
        oracle.recordSent(sent)
        val incoming = IncomingRequest(
            requestId = sent.requestId,
            service = service,
            keyDigest = Digest.of(ACCOUNT_KEY),
            body = body,
            bodyDigest = Digest.of(body.input),
            priority = Priority.NORMAL,
            deadlineMilliseconds = scheduler.nowMilliseconds +
                random.nextLong(MINIMUM_DEADLINE_MILLISECONDS, MAXIMUM_DEADLINE_MILLISECONDS),
            orderKey = orderKey,
        )
        environment.execute(controller.start(incoming, scheduler.nowMilliseconds))
        if (random.nextInt(DISCONNECT_ONE_IN) == 0) environment.scheduleDisconnect(sent.requestId)
    }

    private fun applyDocuments() {
        val hasStatusRead = random.nextBoolean()
        val documents = listOf(
            serviceDocument(ANALYSIS_SERVICE, version = 1) {
                model("generate", MODEL, "v1", LAYERS)
                call("explain", APPLICATION)
                caller(ACCOUNT, ACCOUNT_KEY)
            },
            serviceDocument(ORDER_SERVICE, version = 1) {
                call("reject", APPLICATION, repeatable = false, statusRead = hasStatusRead)
                caller(ACCOUNT, ACCOUNT_KEY)
            },
        )
        catalog.applyNews(
            EntryNews(
                sentMilliseconds = 0,
                leaseMilliseconds = Long.MAX_VALUE,
                documentSequence = documents.size.toLong(),
                documents = documents.mapIndexed { index, document -> StoredDocument(index + 1L, "", document) },
            ),
        )
        announce()
    }

    private companion object {
        const val WALL_MILLISECONDS = 10_000_000L
        const val ACCOUNT = "account"
        const val ACCOUNT_KEY = "key"
        const val ANALYSIS_SERVICE = "seam-analysis"
        const val ORDER_SERVICE = "reject-orders"
        const val LEASE_MILLISECONDS = 300L
        const val PROGRESS_MILLISECONDS = 150L
        const val ROUND_MILLISECONDS = 10L
        const val FAULTY_ROUNDS = 250
        const val RECOVERY_ROUNDS = 500
        const val FAULT_ONE_IN = 12
        const val REQUEST_ONE_IN = 3
        const val ORDER_ONE_IN = 3
        const val DISCONNECT_ONE_IN = 12
        const val ORDER_KEY_COUNT = 25
        const val MAXIMUM_TOKENS = 12
        const val MINIMUM_DEADLINE_MILLISECONDS = 50L
        const val MAXIMUM_DEADLINE_MILLISECONDS = 2_500L
    }
}
