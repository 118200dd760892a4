package cassiaspindle.history.membership

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.schema.ControlCommand

private const val SYNCS_PER_ROUND = 8
private const val TICK_MILLISECONDS = 100L

/** A simulated core: its machines, and the network between them. */
internal class SimulatedCore(
    val machines: SimulatedMachines,
    val network: CoreNetwork,
    private val faults: MembershipFaults,
) {
    /** Prepares the replica at [name] for a planned stop. */
    fun prepareStop(name: String, nowMilliseconds: Long) {
        val machine = machines.find(name)
        val replica = machine.controlReplica
        if (replica != null && faults.reportsStop()) {
            network.carryOut(replica.prepareStop(machine.now(nowMilliseconds)))
        }
    }

    /** Whether the replica at [name] has handed over what it can. */
    fun mayStop(name: String): Boolean = machines.find(name).controlReplica?.mayStop ?: true

    /** Submits [command] to the replica that may serve reads, if there is one; returns the answers. */
    fun submit(command: ControlCommand, ticket: Long, nowMilliseconds: Long): List<ControlEffect.Answer> {
        val (replica, replicaMilliseconds) = machines.leader(nowMilliseconds) ?: return emptyList()
        return network.carryOut(replica.submit(command, ticket, replicaMilliseconds, nowMilliseconds))
    }

    /** Lets all replicas sync, receive messages and, where due, tick; returns the answers to commands. */
    fun runRound(nowMilliseconds: Long): List<ControlEffect.Answer> {
        val isTickDue = nowMilliseconds % TICK_MILLISECONDS == 0L
        val ticked = machines.all.filter { isTickDue }.flatMap { machine ->
            machine.controlReplica?.let { network.carryOut(it.tick(machine.now(nowMilliseconds))) }.orEmpty()
        }
        val synced = machines.all.flatMap { network.carryOut(it.sync(SYNCS_PER_ROUND, nowMilliseconds)) }
        return ticked + synced + deliver(nowMilliseconds)
    }

    private fun deliver(nowMilliseconds: Long): List<ControlEffect.Answer> =
        network.takeArriving().flatMap { message ->
            val receiver = machines.all.firstOrNull { it.name == message.to.name }
            val effects = receiver?.controlReplica?.receive(message, receiver.now(nowMilliseconds))
            network.carryOut(effects.orEmpty())
        }
}
