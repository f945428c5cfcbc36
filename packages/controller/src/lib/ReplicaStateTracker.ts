import type { Clock, Replica } from '@dandelionlane/core';
import type { ReplicaObservation } from '@dandelionlane/placement';

/** How long each replica has been in its state, as far as this process has seen. */
export default class ReplicaStateTracker {
  readonly #clock: Clock;

  #since = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  observe(replicas: readonly Replica[]): readonly ReplicaObservation[] {
    const now = this.#clock.monotonicMilliseconds();
    const since = new Map<string, number>();
    const observations = replicas.map((replica) => {
      const key = `${replica.replica}/${replica.state}`;
      const begun = this.#since.get(key) ?? now;
      since.set(key, begun);
      return { replica, stateMilliseconds: now - begun };
    });
    this.#since = since;
    return observations;
  }
}
