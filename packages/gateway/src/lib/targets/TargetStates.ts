import type { Clock, WorkerId } from '@dandelionlane/core';
import TargetState from './TargetState.js';

/** States of all targets that this process has used. */
export default class TargetStates {
  readonly #clock: Clock;

  readonly #states = new Map<WorkerId, TargetState>();

  /** Targets that are gone and whose state is kept for a while. */
  readonly #dropped = new Set<WorkerId>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  of(worker: WorkerId): TargetState {
    this.#dropped.delete(worker);
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

  /** States by target. */
  entries(): Iterable<[WorkerId, TargetState]> {
    return this.#states.entries();
  }

  /**
   * Removes the state of a target that is gone. While requests to it are held off the state is kept,
   * as the target may register again.
   */
  drop(worker: WorkerId): void {
    this.#dropped.add(worker);
    this.#dropped.forEach((id) => {
      if (this.#states.get(id)?.isHeldOff !== true) {
        this.#states.delete(id);
        this.#dropped.delete(id);
      }
    });
  }
}
