/** How places become free, as of one moment. */
export default interface CapacitySnapshot {
  /** Requests that may be in flight together. */
  readonly capacity: number;
  /** Places of these that a team at its share may take. */
  readonly unreserved: number;
  /** Places by weight that max-min fairness gives a team which wants more than it gets. */
  readonly waterLevel: number;
  /** Expected time between releases while all places are taken. */
  readonly releaseIntervalMilliseconds: number;
}
