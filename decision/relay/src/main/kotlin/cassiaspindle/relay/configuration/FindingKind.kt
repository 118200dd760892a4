package cassiaspindle.relay.configuration

import cassiaspindle.schema.ConfigurationFinding
import cassiaspindle.schema.FindingSeverity

/** The kinds of findings about a configuration; the numbers and names are stable. */
enum class FindingKind(val number: Int, val severity: FindingSeverity) {
    TIMEOUT_NOT_POSITIVE(number = 601, FindingSeverity.ERROR),
    WEIGHTS_NOT_POSITIVE(number = 602, FindingSeverity.ERROR),
    WEIGHT_NEGATIVE(number = 603, FindingSeverity.ERROR),
    SERVICE_UNKNOWN(number = 604, FindingSeverity.ERROR),
    ROUTE_SHADOWED(number = 605, FindingSeverity.ERROR),
    KEY_SHARED(number = 606, FindingSeverity.ERROR),
    VALUE_NOT_POSITIVE(number = 607, FindingSeverity.ERROR),
    VERSION_NOT_HIGHER(number = 608, FindingSeverity.ERROR),
    PREFIX_WITHOUT_LEADING_SLASH(number = 621, FindingSeverity.WARNING),
    PREFIX_WITHOUT_TRAILING_SLASH(number = 622, FindingSeverity.WARNING),
    SERVICE_WITHOUT_ROUTE(number = 623, FindingSeverity.WARNING),
    TARGET_WITHOUT_WEIGHT(number = 624, FindingSeverity.WARNING),
    ACCOUNT_WITHOUT_KEY(number = 625, FindingSeverity.WARNING),
    KEY_REPEATED(number = 626, FindingSeverity.WARNING),
    NAME_REPEATED(number = 627, FindingSeverity.WARNING),
    HOST_EMPTY(number = 628, FindingSeverity.WARNING),
    OBJECTIVE_OVER_TIMEOUT(number = 641, FindingSeverity.WARNING),
    GAP_OBJECTIVE_OVER_TIMEOUT(number = 642, FindingSeverity.WARNING),
    ATTEMPTS_OVER_KIND(number = 643, FindingSeverity.WARNING),
    RESUMABLE_WITHOUT_STREAM(number = 644, FindingSeverity.WARNING),
    HEAD_LIMIT_OVER_BODY_LIMIT(number = 645, FindingSeverity.WARNING),
    HEADER_TIMEOUT_OVER_IDLE_TIMEOUT(number = 646, FindingSeverity.WARNING),
    PRIORITY_NEGATIVE(number = 647, FindingSeverity.WARNING),
    ROUTE_ADDED(number = 661, FindingSeverity.NOTE),
    ROUTE_REMOVED(number = 662, FindingSeverity.NOTE),
    ROUTE_CHANGED(number = 663, FindingSeverity.NOTE),
    SERVICE_ADDED(number = 664, FindingSeverity.NOTE),
    SERVICE_REMOVED(number = 665, FindingSeverity.NOTE),
    SERVICE_CHANGED(number = 666, FindingSeverity.NOTE),
    ACCOUNT_ADDED(number = 667, FindingSeverity.NOTE),
    ACCOUNT_REMOVED(number = 668, FindingSeverity.NOTE),
    ACCOUNT_CHANGED(number = 669, FindingSeverity.NOTE),
    LIMITS_CHANGED(number = 670, FindingSeverity.NOTE),
    SAME_AS_IN_FORCE(number = 671, FindingSeverity.NOTE),
    ;

    /** A finding of this kind about [subject]. */
    internal fun of(subject: String, detail: String) = ConfigurationFinding(number, name, severity, subject, detail)
}
