import type { GroupName, WorkerId } from '@dandelionlane/core';
import type { GroupMembership } from '@dandelionlane/fleet';
import type Liveness from './Liveness.js';
import type MemberReference from '../plan/MemberReference.js';
import assessLiveness from './assessLiveness.js';
import type ObservedWorker from './ObservedWorker.js';

/** All observed workers at one moment. */
export default class FleetObservation {
  readonly workers: ReadonlyMap<WorkerId, ObservedWorker>;

  /** Time since the last worker was registered, in ms. */
  readonly sinceNewWorkerMilliseconds: number;

  /** Formations whose streams go on, as `name/epoch`. */
  readonly #progressingFormations: ReadonlySet<string>;

  /** Made when first asked for. */
  #byGroup: ReadonlyMap<GroupName, readonly ObservedWorker[]> | null = null;

  constructor(
    workers: ReadonlyMap<WorkerId, ObservedWorker>,
    steadyMilliseconds: number,
    progressingFormations: ReadonlySet<string> = new Set(),
  ) {
    this.workers = workers;
    this.sinceNewWorkerMilliseconds = steadyMilliseconds;
    this.#progressingFormations = progressingFormations;
  }

  /** Whether streams of a formation brought events a moment ago: all its members are at work then. */
  isProgressing({ name, epoch }: Pick<GroupMembership, 'name' | 'epoch'>): boolean {
    return this.#progressingFormations.has(`${name}/${epoch}`);
  }

  /** Workers that report to be in a group, in whichever formation of it. */
  inGroup(name: GroupName): readonly ObservedWorker[] {
    this.#byGroup ??= FleetObservation.#indexByGroup(this.workers);
    return this.#byGroup.get(name) ?? [];
  }

  /** The worker, if it is still in the life that the reference names. */
  findInstance(reference: MemberReference): ObservedWorker | undefined {
    const observed = this.workers.get(reference.id);
    const isSameInstance = observed !== undefined && !FleetObservation.#isOtherInstance(reference, observed);
    return isSameInstance ? observed : undefined;
  }

  /** The worker, if it is in the life that the reference names and answers. */
  findAnswering(reference: MemberReference): ObservedWorker | undefined {
    const liveness = this.livenessOf(reference);
    return liveness === 'alive' || liveness === 'leaving' ? this.findInstance(reference) : undefined;
  }

  /** Liveness of the life that the reference names. */
  livenessOf(reference: MemberReference): Liveness {
    const observed = this.workers.get(reference.id);
    if (observed !== undefined && FleetObservation.#isOtherInstance(reference, observed)) {
      return 'gone';
    }
    return assessLiveness(observed);
  }

  static #indexByGroup(
    workers: ReadonlyMap<WorkerId, ObservedWorker>,
  ): ReadonlyMap<GroupName, readonly ObservedWorker[]> {
    const byGroup = new Map<GroupName, ObservedWorker[]>();
    workers.forEach((observed) => {
      const name = observed.report?.group?.name;
      if (name !== undefined) {
        const members = byGroup.get(name);
        if (members === undefined) {
          byGroup.set(name, [observed]);
        } else {
          members.push(observed);
        }
      }
    });
    return byGroup;
  }

  static #isOtherInstance(reference: MemberReference, observed: ObservedWorker): boolean {
    const bornAt = observed.worker.bornAt ?? observed.report?.bornAt ?? null;
    return bornAt !== null && reference.bornAt !== null && bornAt > reference.bornAt;
  }
}
