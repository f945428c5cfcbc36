import type { GroupName, WorkerId } from '@dandelionlane/core';
import { formationName, type GroupMembership } from '@dandelionlane/fleet';
import type Liveness from './Liveness.js';
import type MemberReference from '../plan/MemberReference.js';
import assessLiveness from './assessLiveness.js';
import type ObservedWorker from './ObservedWorker.js';

/** Snapshot of all observed workers. */
export default class FleetObservation {
  readonly workers: ReadonlyMap<WorkerId, ObservedWorker>;

  /** Time since the last worker was added, in ms. */
  readonly sinceNewWorkerMilliseconds: number;

  /** Formations, as `name/epoch`, whose streams recently delivered events. */
  readonly #progressingFormations: ReadonlySet<string>;

  /** Built on first use. */
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

  /** Whether streams of a formation recently delivered events, which takes all its members. */
  isProgressing(group: Pick<GroupMembership, 'name' | 'epoch'>): boolean {
    return this.#progressingFormations.has(formationName(group));
  }

  /** Workers that report membership in a group, in any of its formations. */
  inGroup(name: GroupName): readonly ObservedWorker[] {
    this.#byGroup ??= FleetObservation.#indexByGroup(this.workers);
    return this.#byGroup.get(name) ?? [];
  }

  /** The worker, unless a later instance has replaced the referenced one. */
  findInstance(reference: MemberReference): ObservedWorker | undefined {
    const observed = this.workers.get(reference.id);
    const isSameInstance = observed !== undefined && !FleetObservation.#isOtherInstance(reference, observed);
    return isSameInstance ? observed : undefined;
  }

  /** The referenced instance of a worker, if it answers probes. */
  findAnswering(reference: MemberReference): ObservedWorker | undefined {
    const liveness = this.livenessOf(reference);
    return liveness === 'alive' || liveness === 'leaving' ? this.findInstance(reference) : undefined;
  }

  /** Liveness of the referenced instance. */
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
