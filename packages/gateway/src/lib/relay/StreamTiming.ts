/** When the events of a stream went to its caller, over all its runs. Times are monotonic, in ms. */
export default class StreamTiming {
  #first: number | null = null;

  #last: number | null = null;

  #longestPause = 0;

  /** Time of the first event, or null. */
  get firstEventAt(): number | null {
    return this.#first;
  }

  /** Longest time between two events, in ms. */
  get longestPauseMilliseconds(): number {
    return this.#longestPause;
  }

  /** Notes that events went out. */
  recordDelivery(now: number): void {
    this.#first ??= now;
    if (this.#last !== null) {
      this.#longestPause = Math.max(this.#longestPause, now - this.#last);
    }
    this.#last = now;
  }
}
