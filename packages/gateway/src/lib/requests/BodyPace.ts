/**
 * Time without any byte of an unfinished body after which it is ended, in ms: longer than the 15 s for which
 * idle connections are kept, and than the timeouts of requests.
 */
const MAXIMUM_SILENCE_MILLISECONDS = 20_000;

/**
 * Lowest mean rate of a body, in bytes a second, from a while after its beginning. The slowest links that
 * callers have carry a thousand times as much; a body at this rate misses the deadline of its request.
 */
const MINIMUM_BYTES_PER_SECOND = 64;

/** Time for which the mean rate does not count, in ms. */
const GRACE_MILLISECONDS = 30_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Tells whether a body comes too slowly. It is asked from time to time, so that chunks cost nothing. */
export default class BodyPace {
  readonly #startedAt: number;

  #progressAt: number;

  #bytes = 0;

  /** @param now Monotonic time at which the body began, in ms. */
  constructor(now: number) {
    this.#startedAt = now;
    this.#progressAt = now;
  }

  /** Whether the body is too slow, by the bytes that have come until now. */
  isTooSlow(bytes: number, now: number): boolean {
    if (bytes > this.#bytes) {
      this.#bytes = bytes;
      this.#progressAt = now;
    }
    const elapsed = now - this.#startedAt;
    const bytesPerSecond = (bytes * MILLISECONDS_PER_SECOND) / elapsed;
    return now - this.#progressAt >= MAXIMUM_SILENCE_MILLISECONDS
      || (elapsed >= GRACE_MILLISECONDS && bytesPerSecond < MINIMUM_BYTES_PER_SECOND);
  }
}
