/** Source of random numbers. Passed in, so that decisions can be replayed. */
export default interface RandomSource {
  /** A number that is at least 0 and below 1. */
  next(): number;
}
