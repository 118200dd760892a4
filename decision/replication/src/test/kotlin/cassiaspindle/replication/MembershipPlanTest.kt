package cassiaspindle.replication

import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

/** Checks the rule over every small group: voters, absent and replaced ones, ready learners, limits. */
class MembershipPlanTest : AnnotationSpec() {
    @Test
    fun `no change of the membership lowers the number of voters that may still be lost`() =
        forEachStep { before, after ->
            margin(after) shouldBeGreaterThanOrEqual margin(before)
        }

    /** Guards against a group that shrinks while voters are only cut off and then can't lose the disks it must. */
    @Test
    fun `no change without a replacement leaves fewer disks to lose than the group tolerates`() =
        forEachStep { before, after ->
            diskMargin(after) shouldBeGreaterThanOrEqual minOf(diskMargin(before), before.toleratedLosses)
        }

    /** Guards against review cases 1 and 2: a group with enough machines that doesn't bear the next loss. */
    @Test
    fun `a group that still has a quorum and enough machines bears the tolerated losses in the end`() =
        forEachView { view ->
            val last = history(view).last()
            val machines = alive(view) + view.ready.size
            val isEnough = machines >= 2 * view.toleratedLosses + 1 && view.maximumVoters > 2 * view.toleratedLosses
            if (margin(view) >= 0 && isEnough) margin(last) shouldBeGreaterThanOrEqual view.toleratedLosses
        }

    @Test
    fun `a group whose voters all answer promotes learners in pairs only`() = forEachView { view ->
        val isWhole = view.absent.isEmpty() && view.replaced.isEmpty() && view.membership.voters.size % 2 == 1
        if (isWhole && view.ready.size < 2) nextMembership(view).shouldBeNull()
    }

    @Test
    fun `a ready learner is promoted before the absent voter that it replaces is removed`() {
        val voters = replicas("v", 3)
        val learner = Replica("learner", "1")
        val view = MembershipView(
            GroupMembership(voters, listOf(learner)),
            replaced = emptySet(),
            absent = setOf(voters[0]),
            ready = listOf(learner),
            toleratedLosses = 1,
            maximumVoters = MAXIMUM,
        )
        nextMembership(view) shouldBe GroupMembership(voters + learner, emptyList())
        next(view)?.let(::nextMembership) shouldBe GroupMembership(voters.drop(1) + learner, emptyList())
    }

    private fun forEachStep(check: (MembershipView, MembershipView) -> Unit) = forEachView { view ->
        history(view).zipWithNext().forEach { (before, after) ->
            withClue("$before to $after") { check(before, after) }
        }
    }

    private fun forEachView(check: (MembershipView) -> Unit) {
        val failures = views().mapNotNull { view -> runCatching { check(view) }.exceptionOrNull()?.let { view to it } }
        failures.take(SHOWN_FAILURES).toList().shouldBeEmpty()
    }

    private fun views(): Sequence<MembershipView> = (1..MAXIMUM).asSequence()
        .flatMap { voters -> (0 until voters).map { Members(voters, absent = it, replaced = 0) } }
        .flatMap { members -> (0 until members.voters - members.absent).map { members.copy(replaced = it) } }
        .flatMap { members -> (0..MAXIMUM_READY).map { members.copy(ready = it) } }
        .flatMap { members -> (1..MAXIMUM_LOSSES).map { members to it } }
        .flatMap { (members, losses) -> LIMITS.map { viewOf(members, losses, it) } }

    private fun viewOf(members: Members, losses: Int, maximumVoters: Int): MembershipView {
        val voters = replicas("v", members.voters)
        val learners = replicas("learner", members.ready)
        return MembershipView(
            GroupMembership(voters, learners),
            replaced = voters.take(members.replaced).toSet(),
            absent = voters.drop(members.replaced).take(members.absent).toSet(),
            ready = learners,
            toleratedLosses = losses,
            maximumVoters = maximumVoters,
        )
    }

    private fun replicas(prefix: String, count: Int) = List(count) { Replica("$prefix$it", "1") }

    /** The views from [view] until no change is due. */
    private fun history(view: MembershipView): List<MembershipView> {
        val views = generateSequence(view, ::next).take(MAXIMUM_CHANGES).toList()
        views.size shouldBeLessThan MAXIMUM_CHANGES
        return views
    }

    private fun next(view: MembershipView): MembershipView? = nextMembership(view)?.let { changed ->
        view.copy(
            membership = changed,
            replaced = view.replaced.intersect(changed.voters.toSet()),
            absent = view.absent.intersect(changed.voters.toSet()),
            ready = view.ready.filter { it in changed.learners },
        )
    }

    private fun quorum(view: MembershipView) = view.membership.voters.size / 2 + 1

    private fun alive(view: MembershipView) = view.membership.voters.size - view.absent.size - view.replaced.size

    private fun margin(view: MembershipView) = alive(view) - quorum(view)

    /** How many disks may still be lost if all absent voters return. */
    private fun diskMargin(view: MembershipView) = margin(view) + view.absent.size

    /** Numbers of voters, with the absent and the replaced ones among them, and of ready learners. */
    private data class Members(val voters: Int, val absent: Int, val replaced: Int, val ready: Int = 0)

    private companion object {
        const val MAXIMUM = 7
        const val MAXIMUM_READY = 3
        const val MAXIMUM_LOSSES = 3
        const val MAXIMUM_CHANGES = 30
        const val SHOWN_FAILURES = 3
        val LIMITS = listOf(3, 5, 7)
    }
}
