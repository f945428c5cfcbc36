/** Timing of a lease, in milliseconds. */
export default interface LeaseSettings {
  /** A lease not renewed for this long may be taken over. */
  readonly termMilliseconds: number;
  /** The holder stops acting this long before its term ends. */
  readonly safetyMarginMilliseconds: number;
  /**
   * Whether a lease under this process's own id may be taken over at once. Only where no two
   * processes ever run under one id: then the life that held it has ended.
   */
  readonly canReclaimOwnLease?: boolean;
}
