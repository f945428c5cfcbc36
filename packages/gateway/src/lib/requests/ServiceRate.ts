/** Window in which served requests are counted, in ms. */
const WINDOW_MILLISECONDS = 1_000;

/** Time for which a queue has to be busy before its rate is meaningful, in ms. */
const MINIMUM_BUSY_MILLISECONDS = 500;

/** Measures how fast the requests of a queue are served while it is not empty. */
export default class ServiceRate {
  #servedAt: number[] = [];

  #busySince: number | null = null;

  /** Records that a request waits; the queue is busy from the first one on. */
  recordWaiting(now: number): void {
    this.#busySince ??= now;
  }

  recordServed(now: number): void {
    this.#servedAt = [...this.#servedAt.filter((at) => now - at < WINDOW_MILLISECONDS), now];
  }

  /** Records that no request waits any more. */
  recordEmpty(): void {
    this.#busySince = null;
    this.#servedAt = [];
  }

  /** Estimates the time to serve a number of requests, in ms; null while the rate is unknown. */
  estimateMilliseconds(requests: number, now: number): number | null {
    const busy = Math.min(WINDOW_MILLISECONDS, now - (this.#busySince ?? now));
    const served = this.#servedAt.filter((at) => now - at < WINDOW_MILLISECONDS).length;
    return busy < MINIMUM_BUSY_MILLISECONDS || served === 0 ? null : (requests * busy) / served;
  }
}
