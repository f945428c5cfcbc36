/** Thresholds of the placement policy. */
export default interface PlacementLimits {
  /** Time without reports after which a VM gets no new work, in milliseconds. */
  readonly freshMilliseconds: number;
  /** Time without reports after which a member counts as lost, in milliseconds. */
  readonly lostMilliseconds: number;
  /** Time without reports after which a broken replica may be dropped to repair another, in milliseconds. */
  readonly abandonMilliseconds: number;
  /** Time for which the platform must omit a VM from its list before it counts as gone, in milliseconds. */
  readonly unlistedMilliseconds: number;
  /** Time within which every entry has received a drain, in milliseconds. */
  readonly drainNoticeMilliseconds: number;
  /** Maximum drain time of a replica with unreachable members, in milliseconds. */
  readonly lostDrainMilliseconds: number;
  /** Time after which no order of a former holder can arrive: lease term plus delivery, in milliseconds. */
  readonly orderExpiryMilliseconds: number;
  /** Time within which a member starts to execute its load order, in milliseconds. */
  readonly loadStartMilliseconds: number;
  /** Maximum load time of a replica before it is stopped, in milliseconds. */
  readonly loadLimitMilliseconds: number;
  /** Serving time after which a replica counts as warm regardless of its reports, in milliseconds. */
  readonly warmUpMilliseconds: number;
  /** Time for which every replica of a service must have served before one may move, in milliseconds. */
  readonly settledMilliseconds: number;
  /** Maximum number of VMs that load weights from the store concurrently. */
  readonly concurrentLoads: number;
  /** Share of `concurrentLoads` that moves for spread and defragmentation may use. */
  readonly moveLoadShare: number;
  /** Maximum surge during a change of version, as a share of the wanted number of replicas. */
  readonly surgeShare: number;
  /** Share of silent VMs above which the observer's own network is suspected instead of the VMs. */
  readonly suspectObserverShare: number;
}
