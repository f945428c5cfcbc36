import type { Clock } from '@dandelionlane/core';
import sleep from '../sleep.js';

const MILLISECONDS_PER_SECOND = 1_000;

interface Transfer {
  remainingBytes: number;
}

/**
 * Transfers of weights that share one total rate evenly. Invariant: bytes are
 * settled at the old share before the number of transfers changes.
 */
export default class WeightTransfers {
  readonly #bytesPerMillisecond: number;

  readonly #clock: Clock;

  readonly #active = new Set<Transfer>();

  #settledAt = 0;

  constructor(bytesPerSecond: number, clock: Clock) {
    this.#bytesPerMillisecond = bytesPerSecond / MILLISECONDS_PER_SECOND;
    this.#clock = clock;
  }

  /** Ends when the transfer has finished, or early when the signal aborts. */
  async fetch(bytes: number, signal: AbortSignal): Promise<void> {
    const transfer: Transfer = { remainingBytes: bytes };
    this.#settle();
    this.#active.add(transfer);
    while (transfer.remainingBytes > 0 && !signal.aborted) {
      await sleep(Math.ceil(transfer.remainingBytes / this.#share()), signal);
      this.#settle();
    }
    this.#active.delete(transfer);
  }

  #share(): number {
    return this.#bytesPerMillisecond / Math.max(1, this.#active.size);
  }

  #settle(): void {
    const now = this.#clock.monotonicMilliseconds();
    const bytes = (now - this.#settledAt) * this.#share();
    this.#settledAt = now;
    for (const transfer of this.#active) {
      transfer.remainingBytes = Math.max(0, transfer.remainingBytes - bytes);
    }
  }
}
