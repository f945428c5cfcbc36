import type Outcome from './Outcome.js';

/** How an error kind is answered over HTTP. */
export default interface ErrorAnswer {
  readonly status: number;
  readonly title: string;
  readonly outcome: Outcome;
  /** Default for Retry-After in seconds; absent where a retry cannot help. */
  readonly retryAfterSeconds?: number;
}
