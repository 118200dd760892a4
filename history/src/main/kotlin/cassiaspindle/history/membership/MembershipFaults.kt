package cassiaspindle.history.membership

import cassiaspindle.replication.MembershipRule
import cassiaspindle.replication.nextMembership

/** Points where a test can inject an implementation fault, as function types; the defaults are correct. */
data class MembershipFaults(
    /** The rule by which a leader changes the membership. */
    val membershipRule: MembershipRule = ::nextMembership,
    /** Whether a replica that stops as planned reports it. */
    val reportsStop: () -> Boolean = { true },
    /** Whether the leave of a backend server is recorded before it is acknowledged. */
    val recordsLeaves: () -> Boolean = { true },
)
