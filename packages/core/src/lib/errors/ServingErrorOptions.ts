import type ErrorKind from './ErrorKind.js';

/** Options of a `ServingError`. */
export default interface ServingErrorOptions {
  /** Defaults to `internal`. */
  readonly kind?: ErrorKind;
  readonly cause?: unknown;
  /** Overrides the Retry-After of `ERROR_ANSWERS`, in seconds. */
  readonly retryAfterSeconds?: number;
}
