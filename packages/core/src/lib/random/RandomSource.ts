/** Source of random numbers. Injected, so that decisions can be replayed. */
export default interface RandomSource {
  /** Returns a number that is at least 0 and below 1. */
  next(): number;
}
