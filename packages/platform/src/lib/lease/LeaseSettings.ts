/** Timing of a lease, in milliseconds. */
export default interface LeaseSettings {
  /** A lease that is not renewed for this long may be taken over. */
  readonly termMilliseconds: number;
  /** The holder stops acting this long before its term ends. */
  readonly safetyMarginMilliseconds: number;
  /**
   * Whether a lease held under this process's id may be taken over at once. Only safe where no two
   * processes ever run under the same id: the process that held the lease has then ended.
   */
  readonly canReclaimOwnLease?: boolean;
}
