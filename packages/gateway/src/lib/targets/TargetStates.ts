import type { Clock, WorkerId } from '@dandelionlane/core';
import TargetState from './TargetState.js';

/** State of all targets that this process has dealt with. */
export default class TargetStates {
  readonly #clock: Clock;

  readonly #states = new Map<WorkerId, TargetState>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  of(worker: WorkerId): TargetState {
    const known = this.#states.get(worker);
    if (known !== undefined) {
      return known;
    }
    const state = new TargetState(this.#clock);
    this.#states.set(worker, state);
    return state;
  }

  all(): Iterable<TargetState> {
    return this.#states.values();
  }

  /** States with the targets that they belong to. */
  entries(): Iterable<[WorkerId, TargetState]> {
    return this.#states.entries();
  }

  drop(worker: WorkerId): void {
    this.#states.delete(worker);
  }
}
