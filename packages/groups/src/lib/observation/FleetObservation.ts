import type { WorkerId } from '@dandelionlane/core';
import type Liveness from './Liveness.js';
import type MemberReference from '../plan/MemberReference.js';
import assessLiveness from './assessLiveness.js';
import type ObservedWorker from './ObservedWorker.js';

/** All observed workers at one moment. */
export default class FleetObservation {
  readonly workers: ReadonlyMap<WorkerId, ObservedWorker>;

  /** Time since the last worker was registered, in ms. */
  readonly steadyMilliseconds: number;

  constructor(workers: ReadonlyMap<WorkerId, ObservedWorker>, steadyMilliseconds: number) {
    this.workers = workers;
    this.steadyMilliseconds = steadyMilliseconds;
  }

  /** The worker, if it is still in the life that the reference names. */
  find(reference: MemberReference): ObservedWorker | undefined {
    const observed = this.workers.get(reference.id);
    const isMeant = observed !== undefined && !FleetObservation.#isOtherLife(reference, observed);
    return isMeant ? observed : undefined;
  }

  /** The worker, if it is in the life that the reference names and answers. */
  findAnswering(reference: MemberReference): ObservedWorker | undefined {
    const liveness = this.livenessOf(reference);
    return liveness === 'alive' || liveness === 'leaving' ? this.find(reference) : undefined;
  }

  /** Liveness of the life that the reference names. */
  livenessOf(reference: MemberReference): Liveness {
    const observed = this.workers.get(reference.id);
    if (observed !== undefined && FleetObservation.#isOtherLife(reference, observed)) {
      return 'gone';
    }
    return assessLiveness(observed);
  }

  static #isOtherLife(reference: MemberReference, observed: ObservedWorker): boolean {
    const bornAt = observed.worker.bornAt ?? observed.report?.bornAt ?? null;
    return bornAt !== null && reference.bornAt !== null && bornAt > reference.bornAt;
  }
}
