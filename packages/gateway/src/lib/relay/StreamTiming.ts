/** Delivery times of a stream's events to its caller, over all attempts. Times are monotonic, in ms. */
export default class StreamTiming {
  #firstEventAt: number | null = null;

  #lastEventAt: number | null = null;

  #longestPauseMilliseconds = 0;

  /** Time of the first event, or null. */
  get firstEventAt(): number | null {
    return this.#firstEventAt;
  }

  /** Longest time between two events, in ms. */
  get longestPauseMilliseconds(): number {
    return this.#longestPauseMilliseconds;
  }

  /** Records that events were delivered. */
  recordDelivery(now: number): void {
    this.#firstEventAt ??= now;
    if (this.#lastEventAt !== null) {
      this.#longestPauseMilliseconds = Math.max(this.#longestPauseMilliseconds, now - this.#lastEventAt);
    }
    this.#lastEventAt = now;
  }
}
