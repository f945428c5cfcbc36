/** Window in which served requests are counted, in ms. */
const WINDOW_MILLISECONDS = 1_000;

/** Time for which requests have to wait before their rate says something, in ms. */
const LEAST_MILLISECONDS = 500;

/** How fast the requests of a queue are served while there are any. */
export default class ServiceRate {
  #servedAt: number[] = [];

  #busySince: number | null = null;

  /** Notes that a request began to wait where none waited before. */
  recordWaiting(now: number): void {
    this.#busySince ??= now;
  }

  recordServed(now: number): void {
    this.#servedAt = [...this.#servedAt.filter((at) => now - at < WINDOW_MILLISECONDS), now];
  }

  /** Notes that no request waits any more. */
  recordEmpty(): void {
    this.#busySince = null;
    this.#servedAt = [];
  }

  /** Time in which so many requests are likely to be served, in ms; null where that cannot be told yet. */
  estimateMilliseconds(requests: number, now: number): number | null {
    const busy = Math.min(WINDOW_MILLISECONDS, now - (this.#busySince ?? now));
    const served = this.#servedAt.filter((at) => now - at < WINDOW_MILLISECONDS).length;
    return busy < LEAST_MILLISECONDS || served === 0 ? null : (requests * busy) / served;
  }
}
