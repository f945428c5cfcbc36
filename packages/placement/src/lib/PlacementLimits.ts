/** Thresholds of the placement policy. */
export default interface PlacementLimits {
  /** Silence after which a VM gets no new work, in milliseconds. */
  readonly freshMilliseconds: number;
  /** Silence after which a member counts as lost, in milliseconds. */
  readonly lostMilliseconds: number;
  /** Silence after which a broken replica may be given up to repair another, in milliseconds. */
  readonly abandonMilliseconds: number;
  /** Absence from the platform's list after which a VM counts as gone, in milliseconds. */
  readonly unlistedMilliseconds: number;
  /** Time for every entry to learn of a drain, in milliseconds. */
  readonly drainNoticeMilliseconds: number;
  /** Longest drain of a replica with unreachable members, in milliseconds. */
  readonly lostDrainMilliseconds: number;
  /** Lease length and travel time of the last order of a former holder, in milliseconds. */
  readonly orderExpiryMilliseconds: number;
  /** Time within which a member takes its load order, in milliseconds. */
  readonly loadStartMilliseconds: number;
  /** Longest load of a replica before it is given up, in milliseconds. */
  readonly loadLimitMilliseconds: number;
  /** Serving time after which a replica counts as warm, whatever its reports say, in milliseconds. */
  readonly warmUpMilliseconds: number;
  /** Time that a replica has to serve before it may move for spread, in milliseconds. */
  readonly settledMilliseconds: number;
  /** Number of VMs that may take weights from the store at one time. */
  readonly concurrentLoads: number;
  /** Share of `concurrentLoads` that moves for spread may use. */
  readonly moveLoadShare: number;
  /** Replicas beyond the wanted number during a change of version, as a share of the wanted number. */
  readonly surgeShare: number;
  /** Share of silent VMs above which the observer is suspected instead of the VMs. */
  readonly suspectObserverShare: number;
}
