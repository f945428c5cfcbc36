/** A run of a request as the worker sees it. Times are monotonic, in ms. */
export default interface WorkerRun {
  readonly requestId: string;
  readonly worker: string;
  /** Signature that the answer bears. */
  readonly signature: string;
  readonly body: string;
  readonly team: string | null;
  readonly startedAt: number;
  /** Time at which the worker had written the whole answer; null if it has not. */
  readonly answeredAt: number | null;
  /** Time at which the worker broke off its answer, or its group began to stand still; null if neither. */
  readonly brokenAt: number | null;
  /** Time at which the worker saw that the entry had closed the connection early; null if it has not. */
  readonly abandonedAt: number | null;
}
