/** Timing of a lease, in milliseconds. */
export default interface LeaseSettings {
  /** A lease not renewed for this long may be taken over. */
  readonly termMilliseconds: number;
  /** The holder stops acting this long before its term ends. */
  readonly safetyMarginMilliseconds: number;
}
