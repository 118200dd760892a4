package cassiaspindle.replication

import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica

/** The smallest group from which a voter is removed without a replacement; below it, every voter is needed. */
private const val MINIMUM_VOTERS_FOR_REMOVAL = 4

/** A group with an odd number of voters promotes or removes that many one after the other, or none. */
private const val PAIR = 2

/** What a leader knows of its group when it decides on the next change of the membership. */
data class MembershipView(
    val membership: GroupMembership,
    /** Voters whose name now belongs to a learner with another identity: the old identity never returns. */
    val replaced: Set<Replica>,
    /** Voters that don't answer at the moment or are about to stop; they may return with their disks. */
    val absent: Set<Replica>,
    /** Learners that answer and hold all committed entries. */
    val ready: List<Replica>,
    /** Number of lost disks that the group must survive. */
    val toleratedLosses: Int,
    val maximumVoters: Int,
)

/** Decides on the next change of a membership. */
typealias MembershipRule = (MembershipView) -> GroupMembership?

/**
 * The membership after the next change, or null if no change is due.
 *
 * The margin of a group is the number of voters that answer, less the quorum: how many of them may still be lost. No
 * change lowers it, and a change is made only if it, or the one that follows it, raises it. A ready learner is promoted
 * before the absent voter that it replaces is removed, so that the voter still counts if it returns meanwhile.
 *
 * Without a replacement, an absent voter is removed only while the remaining group can lose the disks that it must
 * tolerate: the absent voters may only be cut off, and a group that has shrunk counts their votes no more.
 */
fun nextMembership(view: MembershipView): GroupMembership? {
    val (voters, learners) = view.membership
    val replaced = view.replaced.firstOrNull()
    val absent = view.absentToRemove()
    return when {
        replaced != null -> GroupMembership(voters - replaced, learners)
        view.canPromote() -> view.ready.first().let { GroupMembership(voters + it, learners - it) }
        absent != null -> GroupMembership(voters - absent, learners)
        else -> null
    }
}

/**
 * Whether a learner is promoted: to an even number of voters, whose quorum it does not raise, in place of an absent
 * voter, or as the first of two.
 */
private fun MembershipView.canPromote(): Boolean {
    val voters = membership.voters.size
    val isEven = voters % 2 == 0
    val isReplacement = !isEven && absent.isNotEmpty() && voters <= maximumVoters
    val isPair = !isEven && voters + PAIR <= maximumVoters && ready.size >= PAIR
    return ready.isNotEmpty() && ((isEven && voters < maximumVoters) || isReplacement || isPair)
}

/** The absent voter that is removed next, or null. */
private fun MembershipView.absentToRemove(): Replica? {
    val voters = membership.voters.size
    val isEven = voters % 2 == 0
    val smallest = 2 * toleratedLosses + 1
    val isPairToRemove = absent.size >= PAIR && voters - PAIR >= smallest
    val isRemovable = voters >= MINIMUM_VOTERS_FOR_REMOVAL && (isEven || isPairToRemove)
    return absent.firstOrNull().takeIf { isRemovable }
}
