package cassiaspindle.core.concurrency

/** Gives a number from 0 until the bound; handed in so that one seed gives one trace. */
typealias RandomSource = (bound: Int) -> Int
