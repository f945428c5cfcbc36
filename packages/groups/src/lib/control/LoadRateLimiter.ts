/** Window in which loads of weights are counted, in ms. */
const WINDOW_MILLISECONDS = 1_000;

/** Limits how many loads of weights are started a second. */
export default class LoadRateLimiter {
  #starts: number[] = [];

  /** Takes one start, or returns false when the last second has used them up. */
  tryStart(now: number, loadsPerSecond: number): boolean {
    this.#starts = this.#starts.filter((startedAt) => now - startedAt < WINDOW_MILLISECONDS);
    if (this.#starts.length >= Math.max(1, Math.floor(loadsPerSecond))) {
      return false;
    }
    this.#starts.push(now);
    return true;
  }
}
