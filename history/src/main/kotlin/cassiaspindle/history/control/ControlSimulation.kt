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
    private val replicaNames =
        List(if (random.nextInt(LARGE_GROUP_ONE_IN) == 0) LARGE_GROUP_SIZE else SMALL_GROUP_SIZE) { "control-$it" }
    private val oracle = ControlOracle()
    private val network = SimulatedNetwork(random)
    private val clients = SimulatedClients(random, oracle, faults)
    private val replicas = replicaNames.map { SimulatedReplica(it, replicaNames, random, faults) }
    private var trueMilliseconds = 0L
    private var replacedDisks = 0

    /** Runs the simulation. */
    fun run(): ControlSimulationResult {
        replicas.forEach { it.start(trueMilliseconds) }
        repeat(FAULTY_ROUNDS) {
            injectRandomFault()
            runRound()
        }
        network.heal()
        repeat(RECOVERY_ROUNDS) {
            replicas.filter { it.controlReplica == null }.forEach { it.start(trueMilliseconds) }
            runRound()
        }
        if (leader() == null) oracle.recordNoRecovery()
        oracle.orders.forEach { name ->
            leader()?.let {
                oracle.checkOrderRead(
                    name,
                    it.second.reads.order(name, it.first)
                )
            }
        }
        return ControlSimulationResult(
            seed = seed,
            violations = oracle.violations,
            acceptedDocuments = oracle.acceptedVersions.values.sum().toInt(),
            dispatchedOrders = oracle.orders.size,
            replacedDisks = replacedDisks,
        )
    }

    private fun runRound() {
        trueMilliseconds += random.nextLong(MAXIMUM_ROUND_MILLISECONDS)
        replicas.forEach { replica ->
            val controlReplica = replica.controlReplica
            if (controlReplica != null) execute(controlReplica.tick(replica.now(trueMilliseconds)))
            if (random.nextInt(SLOW_SYNC_ONE_IN) != 0) execute(replica.sync(SYNCS_PER_ROUND, trueMilliseconds))
        }
        repeat(MESSAGES_PER_ROUND) { deliver() }
        val chosen = replicas.random(random)
        chosen.controlReplica?.let { sendRequests(it, chosen.now(trueMilliseconds)) }
        checkLease()
    }

    private fun sendRequests(controlReplica: ControlReplica, nowMilliseconds: Long) {
        if (random.nextBoolean()) execute(clients.sendRandomCommand(controlReplica, nowMilliseconds))
        clients.read(controlReplica, nowMilliseconds)
    }

    private fun deliver() {
        val message = network.poll() ?: return
        val receiver = replicas.firstOrNull { it.name == message.to.name } ?: return
        receiver.controlReplica?.let { execute(it.receive(message, receiver.now(trueMilliseconds))) }
    }

    private fun execute(effects: List<ControlEffect>) = effects.forEach { effect ->
        when (effect) {
            is ControlEffect.Send -> network.send(effect.message)
            is ControlEffect.Answer -> clients.handleAnswer(effect)
            is ControlEffect.Publish -> oracle.recordPublished(effect.document)
        }
    }

    private fun injectRandomFault() {
        val replica = replicas.random(random)
        when (random.nextInt(FAULT_CHOICES)) {
            0 -> replica.crash()
            1 -> network.toggleIsolation(replica.name)
            2 -> if (hasRecoveredLostDisk()) {
                replica.replaceDisk()
                replacedDisks++
            }
            in QUICK_RESTART_CHOICES -> {
                replica.crash()
                replica.start(trueMilliseconds)
            }
            in LINK_CUT_CHOICES -> network.toggleLink(replica.name, replicas.random(random).name)
            in RESTART_CHOICES -> if (replica.controlReplica == null) replica.start(trueMilliseconds)
        }
    }

    /**
     * Whether the group has recovered from the last lost disk; losing another one before that can destroy the last
     * copy.
     */
    private fun hasRecoveredLostDisk(): Boolean {
        val voters = leader()?.second?.status(0)?.groups.orEmpty().map { it.membership.voters.toSet() }
        val identities = replicas.map { it.identity }.toSet()
        return faults.keepsIdentity() || (voters.isNotEmpty() && voters.all { it == identities })
    }

    private fun leader(): Pair<Long, ControlReplica>? = replicas.firstNotNullOfOrNull { replica ->
        val now = replica.now(trueMilliseconds)
        replica.controlReplica?.takeIf { it.reads.canReadDocuments(now) }?.let { now to it }
    }

    private fun checkLease() = oracle.checkLeaseholders(
        replicas
            .filter { it.controlReplica?.reads?.canReadDocuments(it.now(trueMilliseconds)) == true }
            .map { it.name },
    )

    private companion object {
        const val SMALL_GROUP_SIZE = 3
        const val LARGE_GROUP_SIZE = 5
        const val LARGE_GROUP_ONE_IN = 4
        const val FAULTY_ROUNDS = 500
        const val RECOVERY_ROUNDS = 150
        const val MAXIMUM_ROUND_MILLISECONDS = 12L
        const val SYNCS_PER_ROUND = 8
        const val SLOW_SYNC_ONE_IN = 4
        const val MESSAGES_PER_ROUND = 14
        const val FAULT_CHOICES = 120
        val RESTART_CHOICES = 3..9
        val QUICK_RESTART_CHOICES = 10..13
        val LINK_CUT_CHOICES = 14..16
    }
}
