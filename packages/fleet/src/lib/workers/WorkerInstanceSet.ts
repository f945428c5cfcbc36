import type { WorkerId } from '@dandelionlane/core';
import type WorkerInstance from './WorkerInstance.js';

/** Maximum instances, oldest removed first; they are needed while workers answer, seconds after leaving. */
const MAXIMUM_LIVES = 2_000;

/** Bounded set of worker instances that share a final property, such as a withdrawn registration. */
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

  /** Whether this instance or a later one of the same worker is in the set. */
  has({ id, bornAt }: WorkerInstance): boolean {
    const known = this.#lives.get(id);
    return known !== undefined
      && (known.bornAt === null || bornAt === null || known.bornAt >= bornAt);
  }

  all(): readonly WorkerInstance[] {
    return [...this.#lives.values()];
  }
}
