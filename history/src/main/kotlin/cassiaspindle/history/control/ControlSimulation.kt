package cassiaspindle.history.control

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.control.group.ControlReplica
import kotlin.random.Random

/** Result of one simulation. */
data class ControlSimulationResult(
    val seed: Long,
    /** Violated guarantees; empty if there were none. */
    val violations: List<String>,
    val acceptedDocuments: Int,
    val dispatchedOrders: Int,
    val replacedDisks: Int,
)

/**
 * Simulates a control group under random faults, all drawn from one seed.
 *
 * Messages are lost, duplicated, delayed and reordered; replicas are partitioned, crash and lose unsynced records, and
 * return with an empty disk; clocks run at different rates. Then all faults end and the group has to recover.
 */
class ControlSimulation(private val seed: Long, private val faults: ControlFaults = ControlFaults()) {
    private val random = Random(seed)
    private val names = List(if (random.nextInt(ONE_IN_LARGE) == 0) LARGE else SMALL) { "control-$it" }
    private val oracle = ControlOracle()
    private val network = SimulatedNetwork(random)
    private val clients = SimulatedClients(random, oracle, faults)
    private val replicas = names.map { SimulatedReplica(it, names, random, faults) }
    private var trueMilliseconds = 0L
    private var replacedDisks = 0

    /** Runs the simulation. */
    fun run(): ControlSimulationResult {
        replicas.forEach { it.start(trueMilliseconds) }
        repeat(FAULTY_ROUNDS) {
            disturb()
            round()
        }
        network.heal()
        repeat(HEALED_ROUNDS) {
            replicas.filter { it.node == null }.forEach { it.start(trueMilliseconds) }
            round()
        }
        if (leader() == null) oracle.stuck()
        oracle.orders.forEach { name ->
            leader()?.let {
                oracle.readOrder(
                    name,
                    it.second.reads.order(name, it.first)
                )
            }
        }
        return ControlSimulationResult(
            seed = seed,
            violations = oracle.violations,
            acceptedDocuments = oracle.documents.values.sum().toInt(),
            dispatchedOrders = oracle.orders.size,
            replacedDisks = replacedDisks,
        )
    }

    private fun round() {
        trueMilliseconds += random.nextLong(MAXIMUM_ROUND_MILLISECONDS)
        replicas.forEach { replica ->
            val node = replica.node
            if (node != null) perform(node.tick(replica.now(trueMilliseconds)))
            if (random.nextInt(ONE_IN_SLOW_SYNC) != 0) perform(replica.sync(SYNCS_PER_ROUND, trueMilliseconds))
        }
        repeat(MESSAGES_PER_ROUND) { deliver() }
        val asked = replicas.random(random)
        asked.node?.let { act(it, asked.now(trueMilliseconds)) }
        checkLease()
    }

    private fun act(node: ControlReplica, nowMilliseconds: Long) {
        if (random.nextBoolean()) perform(clients.act(node, nowMilliseconds))
        clients.read(node, nowMilliseconds)
    }

    private fun deliver() {
        val message = network.next() ?: return
        val receiver = replicas.firstOrNull { it.name == message.to.name } ?: return
        receiver.node?.let { perform(it.receive(message, receiver.now(trueMilliseconds))) }
    }

    private fun perform(effects: List<ControlEffect>) = effects.forEach { effect ->
        when (effect) {
            is ControlEffect.Send -> network.send(effect.message)
            is ControlEffect.Answer -> clients.answered(effect)
            is ControlEffect.Publish -> oracle.published(effect.document)
        }
    }

    private fun disturb() {
        val victim = replicas.random(random)
        when (random.nextInt(DISTURBANCES)) {
            0 -> victim.crash()
            1 -> network.toggle(victim.name)
            2 -> if (isWhole()) {
                victim.replaceDisk()
                replacedDisks++
            }
            in QUICK_RESTARTS -> {
                victim.crash()
                victim.start(trueMilliseconds)
            }
            in LINK_CUTS -> network.toggleLink(victim.name, replicas.random(random).name)
            in RESTARTS -> if (victim.node == null) victim.start(trueMilliseconds)
        }
    }

    /**
     * Whether the group has recovered from the last lost disk; losing another one before that can destroy the last
     * copy.
     */
    private fun isWhole(): Boolean {
        val voters = leader()?.second?.status(0)?.groups.orEmpty().map { it.membership.voters.toSet() }
        val identities = replicas.map { it.identity }.toSet()
        return faults.keepsIdentity() || (voters.isNotEmpty() && voters.all { it == identities })
    }

    private fun leader(): Pair<Long, ControlReplica>? = replicas.firstNotNullOfOrNull { replica ->
        val now = replica.now(trueMilliseconds)
        replica.node?.takeIf { it.reads.canReadDocuments(now) }?.let { now to it }
    }

    private fun checkLease() = oracle.leaseholders(
        replicas.filter { it.node?.reads?.canReadDocuments(it.now(trueMilliseconds)) == true }.map { it.name },
    )

    private companion object {
        const val SMALL = 3
        const val LARGE = 5
        const val ONE_IN_LARGE = 4
        const val FAULTY_ROUNDS = 500
        const val HEALED_ROUNDS = 150
        const val MAXIMUM_ROUND_MILLISECONDS = 12L
        const val SYNCS_PER_ROUND = 8
        const val ONE_IN_SLOW_SYNC = 4
        const val MESSAGES_PER_ROUND = 14
        const val DISTURBANCES = 120
        val RESTARTS = 3..9
        val QUICK_RESTARTS = 10..13
        val LINK_CUTS = 14..16
    }
}
