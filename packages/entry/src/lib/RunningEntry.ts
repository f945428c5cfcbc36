/** A running entry. Addresses are `host:port`. */
export default interface RunningEntry {
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly administrationAddress: string;
  /** Graceful shutdown: resolves when no request is in flight and every port is closed. */
  stop(): Promise<void>;
}
