import type { WorkerId } from '@dandelionlane/core';
import type WorkerInstance from './WorkerInstance.js';

/** Maximum instances, oldest removed first; they are needed while workers answer, seconds after leaving. */
const MAXIMUM_INSTANCES = 2_000;

/** Bounded set of worker instances that share a final property, such as a withdrawn registration. */
export default class WorkerInstanceSet {
  readonly #instances = new Map<WorkerId, WorkerInstance>();

  add({ id, bornAt }: WorkerInstance): void {
    this.#instances.delete(id);
    this.#instances.set(id, { id, bornAt });
    const [oldest] = this.#instances.keys();
    if (this.#instances.size > MAXIMUM_INSTANCES && oldest !== undefined) {
      this.#instances.delete(oldest);
    }
  }

  delete(id: WorkerId): void {
    this.#instances.delete(id);
  }

  /**
   * Whether this instance or a later one of the same worker is in the set. One without a start says nothing
   * of one that has a start.
   */
  has({ id, bornAt }: WorkerInstance): boolean {
    const known = this.#instances.get(id);
    return known !== undefined
      && (bornAt === null || (known.bornAt !== null && known.bornAt >= bornAt));
  }

  all(): readonly WorkerInstance[] {
    return [...this.#instances.values()];
  }
}
