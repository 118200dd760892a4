package cassiaspindle.daemon.relay.request

import cassiaspindle.relay.request.AttemptTrail
import cassiaspindle.relay.request.placePatience
import cassiaspindle.relay.route.NoRoute
import cassiaspindle.relay.route.RouteChoice
import com.github.michaelbull.result.Result

/** Time after which a place is looked for again though the fleet is the same, in milliseconds: suspicions run out. */
private const val PLACE_CHECK_MILLISECONDS = 100L

/** Chooses where one request goes, and waits for a place while a lost runner may still be replaced. */
internal class PlaceSearch(
    private val parts: RelayParts,
    private val relaying: Relaying,
    private val trail: AttemptTrail,
    private val lines: RequestLines,
) {
    /** A place for the request, which has [leftMilliseconds], or why there is none. */
    suspend fun find(leftMilliseconds: Long, isStreaming: Boolean): Result<RouteChoice, NoRoute> {
        val begun = parts.now()
        val end = begun + minOf(leftMilliseconds, placePatience(trail.situation(leftMilliseconds), isStreaming))
        var found = choose()
        val hasWaited = found.isErr
        while (found.isErr && parts.now() < end) {
            parts.awaitFleetChange(minOf(PLACE_CHECK_MILLISECONDS, end - parts.now()))
            found = choose()
        }
        val waited = parts.now() - begun
        if (hasWaited) lines.waited(waited, found.isOk)
        return found
    }

    private fun choose() = parts.choice.choose(relaying.question(trail, parts.now()))
}
