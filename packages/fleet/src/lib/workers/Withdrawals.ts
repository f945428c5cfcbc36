import type { WorkerId } from '@dandelionlane/core';
import type WorkerLife from './WorkerLife.js';

/** Withdrawals that are remembered, oldest dropped first: workers answer for seconds after theirs. */
const MAXIMUM_WITHDRAWALS = 2_000;

/**
 * Lives of workers whose registration has ended for good, as opposed to one that lapsed while the
 * store was away. A worker goes on answering for seconds after it has withdrawn.
 */
export default class Withdrawals {
  readonly #lives = new Map<WorkerId, WorkerLife>();

  note({ id, bornAt }: WorkerLife): void {
    this.#lives.delete(id);
    this.#lives.set(id, { id, bornAt });
    const [oldest] = this.#lives.keys();
    if (this.#lives.size > MAXIMUM_WITHDRAWALS && oldest !== undefined) {
      this.#lives.delete(oldest);
    }
  }

  /** The worker has registered again. */
  forget(id: WorkerId): void {
    this.#lives.delete(id);
  }

  /** Whether this life has withdrawn, or a later one of the same worker. */
  has({ id, bornAt }: WorkerLife): boolean {
    const withdrawn = this.#lives.get(id);
    return withdrawn !== undefined
      && (withdrawn.bornAt === null || bornAt === null || withdrawn.bornAt >= bornAt);
  }

  all(): readonly WorkerLife[] {
    return [...this.#lives.values()];
  }
}
