/** One run of the measurement of the data path. */
export default interface DataPathPlan {
  /** Streams that are open at one time, over all targets. */
  readonly streams: number;
  /** Tokens a second on each stream. */
  readonly tokensPerSecond: number;
  /** Length of each stream in tokens; a stream that ended is followed by a new one. */
  readonly tokensPerStream: number;
  readonly seconds: number;
  /** Processes that play targets, and as many that play callers. */
  readonly peers: number;
  /** VMs of each replica: the entry asks all of them while it relays. */
  readonly membersPerReplica: number;
  /** `direct`: callers connect to the targets, which gives the cost of the measurement itself. */
  readonly route: 'entry' | 'direct';
}
