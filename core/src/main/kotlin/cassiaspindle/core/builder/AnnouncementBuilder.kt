package cassiaspindle.core.builder

import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.CallDescription
import cassiaspindle.schema.PlainServiceDescription
import cassiaspindle.schema.RunnerDescription

/**
 * Builds the announcement of a backend server:
 *
 *     announcement("runner-1", incarnation = 1) {
 *         capacity = 8
 *         runner(RunnerDescription("large", "seam-llm", "v1", 0, 16))
 *     }
 */
fun announcement(name: String, incarnation: Long, build: AnnouncementBuilder.() -> Unit): BackEndAnnouncement =
    AnnouncementBuilder(name, incarnation).apply(build).announcement()

/** Collects the parts of an announcement. */
@BuilderScope
class AnnouncementBuilder internal constructor(private val name: String, private val incarnation: Long) {
    private val calls = mutableListOf<CallDescription>()
    private var application: String? = null
    private var runnerDescription: RunnerDescription? = null

    /** Host and port. */
    var address: String = "$name:1"

    /** The availability zone of the backend server. */
    var availabilityZone: String = "howrah"

    /** Maximum number of concurrent requests. */
    var capacity: Int = 1

    /** Declares the backend server as a runner. */
    fun runner(description: RunnerDescription) {
        runnerDescription = description
    }

    /** Declares the backend server as a plain service that answers the call [name] of [application]. */
    fun call(application: String, name: String, repeatable: Boolean) {
        this.application = application
        calls += CallDescription(name, repeatable)
    }

    internal fun announcement() = BackEndAnnouncement(
        name = name,
        incarnation = incarnation,
        address = address,
        availabilityZone = availabilityZone,
        capacity = capacity,
        runner = runnerDescription,
        plainService = application?.let { PlainServiceDescription(it, calls.toList()) },
    )
}
