package cassiaspindle.core.concurrency

import java.security.SecureRandom
import java.util.Random

/** Gives a number from 0 until the bound; handed in so that one seed gives one trace. */
typealias RandomSource = (bound: Int) -> Int

/** A source with [seed] that several threads may use. */
fun seededRandom(seed: Long): RandomSource = Random(seed).let { random -> { bound -> random.nextInt(bound) } }

/** A source of this process alone: processes that start at the same instant draw different numbers. */
fun processRandom(): RandomSource = seededRandom(SecureRandom().nextLong())
