/** A run of a request as the worker sees it. */
export default interface WorkerRun {
  readonly requestId: string;
  readonly worker: string;
  /** Signature that the answer bears. */
  readonly signature: string;
  readonly body: string;
  readonly team: string | null;
  /** Monotonic time, in ms. */
  readonly startedAt: number;
}
