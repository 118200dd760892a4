package cassiaspindle.entry.request

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.entry.routing.ChainPolicy
import cassiaspindle.entry.routing.PlainServicePolicy
import cassiaspindle.entry.routing.lessLoadedOfTwo
import cassiaspindle.entry.routing.shortestChain

/** Policies that choose backend servers, as function types. */
data class RoutingPolicies(
    val random: RandomSource,
    val chain: ChainPolicy = shortestChain,
    val plainService: PlainServicePolicy = lessLoadedOfTwo,
)
