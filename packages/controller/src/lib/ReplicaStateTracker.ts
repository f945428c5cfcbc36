import type { Clock, Replica } from '@dandelionlane/core';
import type { ReplicaObservation } from '@dandelionlane/placement';

/** Tracks how long each replica has been in its state, counted from when this process first saw it there. */
export default class ReplicaStateTracker {
  readonly #clock: Clock;

  #enteredAt = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  observe(replicas: readonly Replica[]): readonly ReplicaObservation[] {
    const now = this.#clock.monotonicMilliseconds();
    const enteredAt = new Map<string, number>();
    const observations = replicas.map((replica) => {
      const key = `${replica.replica}/${replica.state}`;
      const stateEnteredAt = this.#enteredAt.get(key) ?? now;
      enteredAt.set(key, stateEnteredAt);
      return { replica, stateMilliseconds: now - stateEnteredAt };
    });
    this.#enteredAt = enteredAt;
    return observations;
  }
}
