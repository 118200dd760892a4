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
import cassiaspindle.standin.application.StandInApplication
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
    private val time = SimulatedScheduler(random)
    private val surroundings = SimulatedEnvironment(
        random,
        time,
        EnvironmentComponents(
            controller,
            fleet,
            SimulatedApplications(time, recorder, oracle, faults),
            SimulatedLedger(faults, WALL),
            oracle,
            faults,
        ),
    )
    private val orderKeys = List(ORDER_KEYS) { OrderKey.of(WALL, it, random.nextLong()) }
    private var requests = 0

    /** Runs the simulation. */
    fun run(): RequestSimulationResult {
        applyDocuments()
        repeat(FAULTY_ROUNDS) {
            if (random.nextInt(ONE_IN_DISTURBED) == 0) fleet.disturb()
            if (random.nextInt(ONE_IN_REQUEST) == 0) send()
            round()
        }
        time.isFaulty = false
        fleet.runners.forEach { it.mend() }
        repeat(HEALED_ROUNDS) { round() }
        val held = registry.usable(time.nowMilliseconds).sumOf { it.inFlight }
        oracle.finish(controller.inFlight, held)
        return RequestSimulationResult(seed, oracle.violations, requests, oracle.answers)
    }

    private fun round() {
        time.pass(ROUND_MILLISECONDS)
        announce()
    }

    private fun announce() {
        val now = faults.leaseTime(time.nowMilliseconds)
        fleet.runners.filter { it.isUp }.forEach { registry.announce(it.announcement(), now) }
        fleet.applications.forEach { registry.announce(it, now) }
    }

    private fun send() {
        requests++
        if (random.nextInt(ONE_IN_ORDER) == 0) sendOrder() else sendRequest()
    }

    private fun sendRequest() {
        val body = ServiceRequest("prompt ${random.nextInt()}", random.nextInt(1, MAXIMUM_TOKENS), random.nextLong())
        val tokens = RequestOracle.expectedTokens(body.input, body.samplingSeed, body.maximumTokens)
        val output = StandInApplication.expectedOutput("explain", tokens.joinToString(" "))
        start(SentRequest("request-$requests", tokens, output, orderName = null), ANALYSIS, body, orderKey = null)
    }

    private fun sendOrder() {
        val key = orderKeys.random(random)
        val body = ServiceRequest("order ${key.text}")
        val output = StandInApplication.expectedOutput("reject", body.input)
        start(SentRequest("request-$requests", emptyList(), output, "$ACCOUNT/${key.text}"), ORDERS, body, key)
    }

    private fun start(sent: SentRequest, service: String, body: ServiceRequest, orderKey: OrderKey?) {
        oracle.sent(sent)
        val start = IncomingRequest(
            requestId = sent.requestId,
            service = service,
            keyDigest = Digest.of(ACCOUNT_KEY),
            body = body,
            bodyDigest = Digest.of(body.input),
            priority = Priority.NORMAL,
            deadlineMilliseconds = time.nowMilliseconds + random.nextLong(SHORTEST_DEADLINE, LONGEST_DEADLINE),
            orderKey = orderKey,
        )
        surroundings.perform(controller.start(start, time.nowMilliseconds))
        if (random.nextInt(ONE_IN_IMPATIENT) == 0) surroundings.goAway(sent.requestId)
    }

    private fun applyDocuments() {
        val hasStatusRead = random.nextBoolean()
        val documents = listOf(
            serviceDocument(ANALYSIS, version = 1) {
                model("generate", MODEL, "v1", LAYERS)
                call("explain", APPLICATION)
                caller(ACCOUNT, ACCOUNT_KEY)
            },
            serviceDocument(ORDERS, version = 1) {
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
        const val WALL = 10_000_000L
        const val ACCOUNT = "account"
        const val ACCOUNT_KEY = "key"
        const val ANALYSIS = "seam-analysis"
        const val ORDERS = "reject-orders"
        const val LEASE_MILLISECONDS = 300L
        const val PROGRESS_MILLISECONDS = 150L
        const val ROUND_MILLISECONDS = 10L
        const val FAULTY_ROUNDS = 250
        const val HEALED_ROUNDS = 500
        const val ONE_IN_DISTURBED = 12
        const val ONE_IN_REQUEST = 3
        const val ONE_IN_ORDER = 3
        const val ONE_IN_IMPATIENT = 12
        const val ORDER_KEYS = 25
        const val MAXIMUM_TOKENS = 12
        const val SHORTEST_DEADLINE = 50L
        const val LONGEST_DEADLINE = 2_500L
    }
}
