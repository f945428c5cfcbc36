/** Handle of a controller that runs in this process. */
export default interface RunningController {
  /** `host:port` of `/healthz` and `/readyz`. */
  readonly healthAddress: string;
  holdsLease(): boolean;
  /** Finishes the current round and releases the lease. */
  stop(): Promise<void>;
}
