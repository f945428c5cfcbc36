import type { WorkerId } from '@dandelionlane/core';
import type WorkerInstance from './WorkerInstance.js';

/** Lives that are remembered, oldest dropped first: a worker answers for seconds after it has left. */
const MAXIMUM_LIVES = 2_000;

/** Lives of workers of which something holds until they end, as that they have withdrawn. */
export default class WorkerInstanceSet {
  readonly #lives = new Map<WorkerId, WorkerInstance>();

  add({ id, bornAt }: WorkerInstance): void {
    this.#lives.delete(id);
    this.#lives.set(id, { id, bornAt });
    const [oldest] = this.#lives.keys();
    if (this.#lives.size > MAXIMUM_LIVES && oldest !== undefined) {
      this.#lives.delete(oldest);
    }
  }

  delete(id: WorkerId): void {
    this.#lives.delete(id);
  }

  /** Whether this life is known, or a later one of the same worker. */
  has({ id, bornAt }: WorkerInstance): boolean {
    const known = this.#lives.get(id);
    return known !== undefined
      && (known.bornAt === null || bornAt === null || known.bornAt >= bornAt);
  }

  all(): readonly WorkerInstance[] {
    return [...this.#lives.values()];
  }
}
