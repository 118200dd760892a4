package cassiaspindle.transport.http.server

import cassiaspindle.core.result.ResultCode
import io.micrometer.core.instrument.Counter
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** The metrics of a daemon. */
class Metrics {
    /** The registry that `/metrics` exposes. */
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    private val peerBytes = Counter.builder("cassiaspindle.peer.sent.bytes").register(registry)

    /** Counts bytes sent to other processes of the system. */
    fun countPeerBytes(bytes: Int) = peerBytes.increment(bytes.toDouble())

    /** Counts an occurrence of [event]. */
    fun countEvent(event: String) =
        Counter.builder("cassiaspindle.events").tag("event", event).register(registry).increment()

    /** Counts a result with [code]. */
    fun count(code: ResultCode) {
        Counter.builder("cassiaspindle.results").tag("code", code.number.toString()).register(registry).increment()
    }
}
