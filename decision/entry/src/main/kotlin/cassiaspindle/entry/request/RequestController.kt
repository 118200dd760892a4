package cassiaspindle.entry.request

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.core.identity.Digest
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.admission.AccountLimits
import cassiaspindle.entry.catalog.ServiceCatalog
import cassiaspindle.entry.membership.BackEndRegistry
import cassiaspindle.schema.AllowedCaller
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.StepResult
import java.util.concurrent.atomic.AtomicBoolean

private const val SHARDS = 16

/**
 * All requests at this entry VM, sharded by request.
 *
 * Calls take the monotonic time in milliseconds and return the effects to carry out in order. A call for a request
 * that is over changes nothing.
 */
class RequestController(
    private val identity: EntryIdentity,
    private val catalog: ServiceCatalog,
    private val registry: BackEndRegistry,
    private val policies: Policies,
) {
    private val limits = AccountLimits()
    private val shards = Sharded(SHARDS) { mutableMapOf<String, RequestMachine>() }
    private val draining = AtomicBoolean(false)

    /** Number of requests that are not over. */
    val inFlight: Int get() = shards.mapEach { it.size }.sum()

    /** Whether new work is refused. */
    val isDraining: Boolean get() = draining.get()

    /** Refuses new work from now on; requests in flight go on. */
    fun drain() = draining.set(true)

    /** Admits or refuses a request. */
    fun start(start: RequestStart, nowMilliseconds: Long): List<EntryEffect> =
        when (val admission = admit(start, nowMilliseconds)) {
            is Admission.Refused -> listOf(EntryEffect.GiveFailure(start.requestId, Failure(admission.code)))
            is Admission.Admitted -> {
                val plan = RequestPlan(start, admission.document, admission.caller.account)
                shards.withKey(start.requestId) { it[start.requestId] = RequestMachine(plan, identity, policies) }
                change(start.requestId, nowMilliseconds) { it.begin(nowMilliseconds) }
            }
        }

    /** Takes the result of a step; one of an abandoned attempt is dropped. */
    fun stepAnswered(result: StepResult, nowMilliseconds: Long): List<EntryEffect> =
        change(result.request, nowMilliseconds) { it.stepAnswered(result, nowMilliseconds) }

    /** Takes the loss of the connection to a runner. */
    fun backEndLost(backEnd: String, nowMilliseconds: Long): List<EntryEffect> {
        registry.suspect(backEnd)
        val affected = shards.mapEach { machines -> machines.filterValues { it.uses(backEnd) }.keys.toList() }.flatten()
        return affected.flatMap { id -> change(id, nowMilliseconds) { it.backEndLost(backEnd, nowMilliseconds) } }
    }

    /** Takes the end of a call or of a status read. */
    fun callAnswered(
        requestId: String,
        attempt: Int,
        outcome: CallOutcome,
        nowMilliseconds: Long,
    ): List<EntryEffect> = change(requestId, nowMilliseconds) { it.callAnswered(attempt, outcome, nowMilliseconds) }

    /** Takes the answer of the control replicas to a submitted command. */
    fun commandAnswered(requestId: String, outcome: CommandOutcome, nowMilliseconds: Long): List<EntryEffect> =
        change(requestId, nowMilliseconds) { it.commandAnswered(outcome) }

    /** Does what is due for a request. */
    fun wake(requestId: String, nowMilliseconds: Long): List<EntryEffect> =
        change(requestId, nowMilliseconds) { it.wake(nowMilliseconds) }

    /** Takes the news that the caller went away. */
    fun cancel(requestId: String, nowMilliseconds: Long): List<EntryEffect> =
        change(requestId, nowMilliseconds) { it.cancel() }

    /** The client account that shows the key with [keyDigest] to [service], or the refusal. */
    fun account(service: String, keyDigest: String): Admission {
        val document = catalog.find(service) ?: return Admission.Refused(ResultCode.UNKNOWN_SERVICE)
        val caller = document.callers.firstOrNull { Digest.equal(it.keyDigest, keyDigest) }
            ?: return Admission.Refused(ResultCode.UNAUTHENTICATED)
        return Admission.Admitted(document, caller)
    }

    private fun admit(start: RequestStart, nowMilliseconds: Long): Admission {
        val refusal = when {
            isDraining -> ResultCode.DRAINING
            !catalog.hasLease(nowMilliseconds) -> ResultCode.ENTRY_CUT_OFF
            start.deadlineMilliseconds <= nowMilliseconds -> ResultCode.DEADLINE_TOO_SHORT
            else -> null
        }
        return if (refusal != null) Admission.Refused(refusal) else admitCaller(start)
    }

    private fun admitCaller(start: RequestStart): Admission {
        val admission = account(start.service, start.keyDigest)
        return when {
            admission !is Admission.Admitted -> admission
            admission.document.takesOrders() && start.orderKey == null ->
                Admission.Refused(ResultCode.ORDER_EXPECTED)
            !limits.enter(start.service, admission.caller) -> Admission.Refused(ResultCode.ACCOUNT_LIMIT)
            else -> admission
        }
    }

    private fun change(
        requestId: String,
        nowMilliseconds: Long,
        event: (RequestMachine) -> Unit,
    ): List<EntryEffect> {
        val changed = shards.withKey(requestId) { machines ->
            val machine = machines[requestId]
            if (machine == null) {
                null
            } else {
                event(machine)
                if (machine.isFinished) machines.remove(requestId)
                Changed(machine.drain(), machine.takeIf { it.isFinished })
            }
        } ?: return emptyList()
        changed.finished?.let { limits.leave(it.service, it.account) }
        return changed.steps.flatMap { carryOut(requestId, it, nowMilliseconds) }
    }

    private fun carryOut(requestId: String, step: RequestStep, nowMilliseconds: Long): List<EntryEffect> {
        when (step) {
            is RequestStep.Outward -> return listOf(step.effect)
            is RequestStep.Occupy -> registry.occupy(step.backEnd, step.change)
            is RequestStep.Suspect -> registry.suspect(step.backEnd)
            RequestStep.Place -> {
                val candidates = registry.usable(nowMilliseconds)
                return change(requestId, nowMilliseconds) { it.place(candidates, nowMilliseconds) }
            }
        }
        return emptyList()
    }

    private class Changed(val steps: List<RequestStep>, val finished: RequestMachine?)
}

/** Whether a caller may use a service. */
sealed interface Admission {
    /** It may, under [document]. */
    data class Admitted(val document: ServiceDocument, val caller: AllowedCaller) : Admission

    /** It may not. */
    data class Refused(val code: ResultCode) : Admission
}
