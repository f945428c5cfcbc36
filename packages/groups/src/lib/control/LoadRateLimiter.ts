/** Sliding window in which weight loads are counted, in ms. */
const WINDOW_MILLISECONDS = 1_000;

/** Limits how many weight loads start per second. */
export default class LoadRateLimiter {
  #starts: number[] = [];

  /** Reserves one start; returns false when the limit of the last second is reached. */
  tryStart(now: number, loadsPerSecond: number): boolean {
    this.#starts = this.#starts.filter((startedAt) => now - startedAt < WINDOW_MILLISECONDS);
    if (this.#starts.length >= Math.max(1, Math.floor(loadsPerSecond))) {
      return false;
    }
    this.#starts.push(now);
    return true;
  }
}
