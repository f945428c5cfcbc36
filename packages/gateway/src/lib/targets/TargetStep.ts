/** Time that a target took for a part of its work, beside what is expected of one that runs as configured. */
export default interface TargetStep {
  /** Time that it took, in ms. */
  readonly measuredMilliseconds: number;
  /** Time that it takes as configured at this load, in ms. */
  readonly expectedMilliseconds: number;
  /** Requests that the target had meanwhile. */
  readonly load: number;
  /** Requests that it can run concurrently. */
  readonly slots: number;
}
