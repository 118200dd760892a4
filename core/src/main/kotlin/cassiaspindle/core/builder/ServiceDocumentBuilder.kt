package cassiaspindle.core.builder

import cassiaspindle.core.identity.Digest
import cassiaspindle.schema.AllowedCaller
import cassiaspindle.schema.CallStage
import cassiaspindle.schema.ModelStage
import cassiaspindle.schema.Objectives
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.Stage

/** Marks the receivers of the builders, so that an inner block can't call an outer receiver by mistake. */
@DslMarker
annotation class BuilderScope

/**
 * Builds a service document:
 *
 *     serviceDocument("seam-analysis", version = 1) {
 *         model("generate", "seam-llm", "v1", layers = 32)
 *         call("explain", application = "line-app")
 *         caller("howrah-line", key)
 *     }
 */
fun serviceDocument(service: String, version: Long, build: ServiceDocumentBuilder.() -> Unit): ServiceDocument =
    ServiceDocumentBuilder(service, version).apply(build).document()

/** Collects the parts of a service document; stages run in the order of the calls. */
@BuilderScope
class ServiceDocumentBuilder internal constructor(private val service: String, private val version: Long) {
    private val stages = mutableListOf<Stage>()
    private val callers = mutableListOf<AllowedCaller>()

    /** The service level objectives, or null for the defaults. */
    var objectives: Objectives? = null

    /** Adds a stage that generates tokens with [model]. */
    fun model(name: String, model: String, modelVersion: String, layers: Int) {
        stages += Stage(name, model = ModelStage(model, modelVersion, layers))
    }

    /** Adds a stage that calls [application]; the stage has the name of the call. */
    fun call(name: String, application: String, repeatable: Boolean = true, statusRead: Boolean = false) {
        stages += Stage(name, call = CallStage(application, name, repeatable, statusRead))
    }

    /** Allows requests of the client account [account], which authenticates with [key]. */
    fun caller(account: String, key: String, concurrency: Int = DEFAULT_CONCURRENCY) {
        callers += AllowedCaller(account, Digest.of(key), concurrency)
    }

    internal fun document() = ServiceDocument(service, version, stages.toList(), callers.toList(), objectives)

    private companion object {
        const val DEFAULT_CONCURRENCY = 64
    }
}
