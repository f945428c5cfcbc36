/** Limits on the connections that a process accepts at each of its addresses; null where there is none. */
export default interface ConnectionLimits {
  readonly callers: number | null;
  readonly links: number | null;
  readonly directory: number | null;
  readonly readiness: number | null;
  readonly metrics: number | null;
}
