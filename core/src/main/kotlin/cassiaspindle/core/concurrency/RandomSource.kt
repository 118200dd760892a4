package cassiaspindle.core.concurrency

import java.security.SecureRandom
import java.util.Random

/** Returns a random number from 0 until the bound. It is a parameter, so that runs with one seed are reproducible. */
typealias RandomSource = (bound: Int) -> Int

/** A thread-safe source with [seed]. */
fun seededRandom(seed: Long): RandomSource = Random(seed).let { random -> { bound -> random.nextInt(bound) } }

/** A source with a random seed, so that processes started at the same instant draw different numbers. */
fun processRandom(): RandomSource = seededRandom(SecureRandom().nextLong())
