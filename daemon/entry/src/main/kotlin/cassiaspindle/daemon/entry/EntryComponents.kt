package cassiaspindle.daemon.entry

import cassiaspindle.entry.admission.AdmissionControl
import cassiaspindle.entry.catalog.ServiceCatalog
import cassiaspindle.entry.membership.BackEndRegistry
import cassiaspindle.entry.request.EntryIdentity
import cassiaspindle.entry.request.RequestController
import cassiaspindle.schema.EntrySettings
import cassiaspindle.transport.http.server.Metrics

/** Components that the daemon and the request handlers of an entry VM share. */
internal class EntryComponents(val settings: EntrySettings, val environment: EntryEnvironment) {
    val identity = EntryIdentity(
        name = settings.name,
        incarnation = environment.clock.wallMilliseconds(),
        availabilityZone = settings.availabilityZone,
        progressTimeoutMilliseconds = settings.progressMilliseconds,
    )
    val metrics = Metrics()
    val catalog = ServiceCatalog()
    val registry = BackEndRegistry(settings.backEndLeaseMilliseconds)
    val admission = AdmissionControl(catalog)
    val controller = RequestController(identity, admission, registry, environment.policies)
    val sessions = CallerSessions()

    fun now(): Long = environment.clock.monotonicMilliseconds()
}
