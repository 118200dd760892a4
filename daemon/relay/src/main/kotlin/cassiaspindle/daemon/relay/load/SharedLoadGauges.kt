package cassiaspindle.daemon.relay.load

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags
import java.util.concurrent.atomic.AtomicReference

/** The gauges of the shared load at [registry]; those of the services follow the configuration. */
internal class SharedLoadGauges(registry: MeterRegistry, private val sharedLoad: SharedLoadService) {
    private val registeredServices = AtomicReference<Set<String>>(emptySet())
    private val utilization = MultiGauge.builder("cassiaspindle.fleet.utilization")
        .description("Estimated utilization of the backend servers of a service")
        .register(registry)

    init {
        Gauge.builder("cassiaspindle.load.view.age.ms", sharedLoad) {
            it.viewAgeMilliseconds?.toDouble() ?: Double.NaN
        }.register(registry)
    }

    /** Registers the gauges of the services that now share their load. */
    fun refresh() {
        val services = sharedLoad.services
        if (registeredServices.getAndSet(services) == services) return
        val rows = services.map { service ->
            MultiGauge.Row.of(Tags.of("service", service)) { sharedLoad.utilizationOf(service) }
        }
        utilization.register(rows, true)
    }
}
