/** A controller that runs in this process. */
export default interface RunningController {
  /** `host:port` of `/healthz` and `/readyz`. */
  readonly healthAddress: string;
  holdsLease(): boolean;
  /** Finishes the present round and gives the lease up. */
  stop(): Promise<void>;
}
