import {
  isNewerReport, type Clock, type ReleaseState, type Replica, type ReplicaMember, type VMId, type VMRecord,
  type VMReport,
} from '@dandelionlane/core';
import type { VMObservation } from '@dandelionlane/placement';
import type TrackedVM from './TrackedVM.js';

function createTracked(record: VMRecord, now: number): TrackedVM {
  return {
    record,
    report: null,
    reportedAt: now,
    polledAt: Number.NEGATIVE_INFINITY,
    silentSince: null,
    unlistedSince: null,
  };
}

/** Assumes the accelerators that the VM's service requires until a list contains the VM. */
function createUnlisted(member: ReplicaMember, accelerators: number, now: number): TrackedVM {
  const record: VMRecord = { ...member, accelerators, state: 'live' };
  return { ...createTracked(record, now), unlistedSince: now };
}

/** Time for which a VM missing from the list is still tracked, since lists lag and go back in time. */
const UNLISTED_LIMIT_MILLISECONDS = 60_000;

/** Poll period of a VM whose replica is not changing state. */
const STABLE_PERIOD_MILLISECONDS = 4_000;

/** Maximum age at which a report still counts as the VM's current state. */
const FRESH_MILLISECONDS = 6_000;

/** Tracks the VMs of the region by merging the platform's list with the VMs' own reports. */
export default class FleetTracker {
  readonly #clock: Clock;

  #vms = new Map<VMId, TrackedVM>();

  #hasList = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether a list has been received. */
  get hasList(): boolean {
    return this.#hasList;
  }

  /** Merges a list of VMs. VMs that it omits stay tracked for a while. */
  updateList(records: readonly VMRecord[]): void {
    const now = this.#clock.monotonicMilliseconds();
    const next = new Map(records.map((record) => [record.vm, this.#merge(record, now)] as const));
    this.#vms.forEach((tracked, vm) => {
      const unlistedSince = tracked.unlistedSince ?? now;
      if (!next.has(vm) && now - unlistedSince < UNLISTED_LIMIT_MILLISECONDS) {
        next.set(vm, { ...tracked, unlistedSince });
      }
    });
    this.#vms = next;
    this.#hasList = true;
  }

  /**
   * Tracks the members of placed replicas even if a lagging list lacks them, since the planner
   * treats an untracked VM as gone.
   */
  includeMembers(replicas: readonly Replica[], release: ReleaseState | null): void {
    const now = this.#clock.monotonicMilliseconds();
    replicas.forEach(({ service, members }) => {
      const needed = release?.services.find(({ definition }) => definition.service === service);
      members
        .filter(({ vm }) => !this.#vms.has(vm))
        .forEach((member) => this.#vms.set(
          member.vm,
          createUnlisted(member, needed?.definition.acceleratorsPerVM ?? 0, now),
        ));
    });
  }

  /** The VMs to poll now: always those that change or are silent, the others once per poll period. */
  vmsToPoll(changing: ReadonlySet<VMId>): readonly VMRecord[] {
    const now = this.#clock.monotonicMilliseconds();
    return [...this.#vms.values()]
      .filter(({
        record, report, silentSince, polledAt,
      }) => report === null || silentSince !== null || changing.has(record.vm)
        || now - polledAt >= STABLE_PERIOD_MILLISECONDS)
      .map(({ record }) => record);
  }

  /** Records the report that a poll sent at `polledAt` returned, or null when it failed. */
  recordPoll(vm: VMId, report: VMReport | null, polledAt: number): void {
    const tracked = this.#vms.get(vm);
    if (tracked === undefined) {
      return;
    }
    if (report === null || !isNewerReport(report, tracked.report)) {
      this.#vms.set(vm, { ...tracked, polledAt, silentSince: tracked.silentSince ?? polledAt });
      return;
    }
    this.#vms.set(vm, {
      ...tracked, report, polledAt, reportedAt: this.#clock.monotonicMilliseconds(), silentSince: null,
    });
  }

  recordsByVM(): ReadonlyMap<VMId, VMRecord> {
    return new Map([...this.#vms].map(([vm, { record }]) => [vm, record]));
  }

  /** Reports that are recent enough to reflect the current state of their VMs. */
  freshReports(): ReadonlyMap<VMId, VMReport> {
    const now = this.#clock.monotonicMilliseconds();
    const fresh = new Map<VMId, VMReport>();
    this.#vms.forEach(({ report, reportedAt, silentSince }, vm) => {
      if (report !== null && silentSince === null && now - reportedAt <= FRESH_MILLISECONDS) {
        fresh.set(vm, report);
      }
    });
    return fresh;
  }

  observations(): readonly VMObservation[] {
    const now = this.#clock.monotonicMilliseconds();
    return [...this.#vms.values()].map(({
      record, report, silentSince, unlistedSince,
    }) => ({
      record,
      report,
      unreachableMilliseconds: silentSince === null ? 0 : now - silentSince,
      unlistedMilliseconds: unlistedSince === null ? 0 : now - unlistedSince,
    }));
  }

  /** A VM with a new address is a new VM, so the state tracked for the old one is discarded. */
  #merge(record: VMRecord, now: number): TrackedVM {
    const tracked = this.#vms.get(record.vm);
    return tracked?.record.address === record.address
      ? { ...tracked, record, unlistedSince: null }
      : createTracked(record, now);
  }
}
