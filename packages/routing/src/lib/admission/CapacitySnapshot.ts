/** Capacity and release rate of an `AdmissionQueue` at one time. */
export default interface CapacitySnapshot {
  /** Requests that may be in flight at a time. */
  readonly capacity: number;
  /** Slots of the capacity that a team at its fair share may take. */
  readonly unreserved: number;
  /** Max-min fair number of slots per unit of weight for a team with unmet demand. */
  readonly waterLevel: number;
  /** Expected time between releases while all slots are taken. */
  readonly releaseIntervalMilliseconds: number;
}
