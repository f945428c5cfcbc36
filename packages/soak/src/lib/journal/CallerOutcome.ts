/** How a request ended for its caller. Times are monotonic, in ms. */
type CallerOutcome = | {
  readonly kind: 'answered';
  readonly status: number;
  /** Signature of the worker's run, or null. */
  readonly signature: string | null;
  readonly body: string;
  /** Whether the answer ended as complete. */
  readonly whole: boolean;
  readonly endedAt: number;
}
/**
 * No answer: the connection failed or ended. `read`: the entry had read the request, since its side
 * of the connection was closed with nothing unread. Without it, the request may have been refused.
 */
| { readonly kind: 'disconnected'; readonly read: boolean; readonly endedAt: number }
/** The caller left, some time after its deadline. */
| { readonly kind: 'left'; readonly endedAt: number };

export default CallerOutcome;
