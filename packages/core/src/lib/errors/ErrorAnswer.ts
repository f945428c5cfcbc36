import type Outcome from './Outcome.js';

/** HTTP answer to an error kind. */
export default interface ErrorAnswer {
  readonly status: number;
  readonly title: string;
  readonly outcome: Outcome;
  /** Default of Retry-After, in seconds; absent if a retry cannot help. */
  readonly retryAfterSeconds?: number;
}
