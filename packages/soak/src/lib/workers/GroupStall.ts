import type { GroupWorker } from '@dandelionlane/standin';
import type SoakGroups from './SoakGroups.js';

/** Time for which a group stands still before its head notices, in ms. */
const STALL_MILLISECONDS = 2_000;

/** Whether the group of a head stands still, and since when. */
export default class GroupStall {
  readonly #groups: SoakGroups;

  readonly #head: GroupWorker;

  #since: number | null = null;

  constructor(groups: SoakGroups, head: GroupWorker) {
    this.#groups = groups;
    this.#head = head;
  }

  /** The head has taken an order, so that its group may be another one. */
  reset(): void {
    this.#since = null;
  }

  /** Whether nothing moves in the group, and the head has not noticed yet. */
  isHeldBack(): boolean {
    return this.#standsStill() && !this.isBroken();
  }

  /** Whether the head has noticed; its group is broken then. */
  isBroken(): boolean {
    const isBroken = this.#standsStill()
      && performance.now() - (this.#since ?? Number.POSITIVE_INFINITY) > STALL_MILLISECONDS;
    if (isBroken && this.#head.group !== null) {
      this.#head.group = { ...this.#head.group, state: 'broken' };
    }
    return isBroken;
  }

  #standsStill(): boolean {
    const { group, members } = this.#head;
    const isStill = group !== null && this.#groups.standsStill({ group, members });
    this.#since = isStill ? this.#since ?? performance.now() : null;
    return isStill;
  }
}
