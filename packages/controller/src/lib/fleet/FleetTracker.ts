import {
  isNewerReport, type Clock, type ReleaseState, type Replica, type ReplicaMember, type VMId, type VMRecord,
  type VMReport,
} from '@dandelionlane/core';
import type { VMObservation } from '@dandelionlane/placement';
import type TrackedVM from './TrackedVM.js';

function createKnown(record: VMRecord, now: number): TrackedVM {
  return {
    record,
    report: null,
    reportedAt: now,
    polledAt: Number.NEGATIVE_INFINITY,
    silentSince: null,
    unlistedSince: null,
  };
}

/** Until a list tells more, the VM is taken to have the accelerators that its service needs. */
function createUnlisted(member: ReplicaMember, accelerators: number, now: number): TrackedVM {
  const record: VMRecord = { ...member, accelerators, state: 'live' };
  return { ...createKnown(record, now), unlistedSince: now };
}

/** How long a VM that the list dropped is kept in view, since lists lag and go back. */
const UNLISTED_LIMIT_MILLISECONDS = 60_000;

/** Period of questions to a VM in whose state no change is under way. */
const STABLE_PERIOD_MILLISECONDS = 4_000;

/** Age up to which a report says what a VM does now. */
const FRESH_MILLISECONDS = 6_000;

/** The controller's view of the VMs: the platform's list joined with the VMs' own reports. */
export default class FleetTracker {
  readonly #clock: Clock;

  #known = new Map<VMId, TrackedVM>();

  #listed = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether a list has been read. */
  get hasList(): boolean {
    return this.#listed;
  }

  /** Takes in a list. A VM that it dropped stays in view for a while. */
  updateList(records: readonly VMRecord[]): void {
    const now = this.#clock.monotonicMilliseconds();
    const next = new Map(records.map((record) => [record.vm, this.#join(record, now)] as const));
    this.#known.forEach((known, vm) => {
      const unlistedSince = known.unlistedSince ?? now;
      if (!next.has(vm) && now - unlistedSince < UNLISTED_LIMIT_MILLISECONDS) {
        next.set(vm, { ...known, unlistedSince });
      }
    });
    this.#known = next;
    this.#listed = true;
  }

  /**
   * Brings the members of placed replicas into view. A list that lags may lack them,
   * and a VM that is not in view counts as gone.
   */
  includeMembers(replicas: readonly Replica[], release: ReleaseState | null): void {
    const now = this.#clock.monotonicMilliseconds();
    replicas.forEach(({ service, members }) => {
      const needed = release?.services.find(({ definition }) => definition.service === service);
      members
        .filter(({ vm }) => !this.#known.has(vm))
        .forEach((member) => this.#known.set(
          member.vm,
          createUnlisted(member, needed?.definition.acceleratorsPerVM ?? 0, now),
        ));
    });
  }

  /** The VMs to ask for a report now: those that change or are silent each time, the others by turns. */
  vmsToPoll(changing: ReadonlySet<VMId>): readonly VMRecord[] {
    const now = this.#clock.monotonicMilliseconds();
    return [...this.#known.values()]
      .filter(({
        record, report, silentSince, polledAt: askedAt,
      }) => report === null || silentSince !== null || changing.has(record.vm)
        || now - askedAt >= STABLE_PERIOD_MILLISECONDS)
      .map(({ record }) => record);
  }

  /** Takes in the answer to a question that went out at the given time; null when none came. */
  recordPoll(vm: VMId, report: VMReport | null, askedAt: number): void {
    const known = this.#known.get(vm);
    if (known === undefined) {
      return;
    }
    if (report === null || !isNewerReport(report, known.report)) {
      this.#known.set(vm, { ...known, polledAt: askedAt, silentSince: known.silentSince ?? askedAt });
      return;
    }
    this.#known.set(vm, {
      ...known, report, polledAt: askedAt, reportedAt: this.#clock.monotonicMilliseconds(), silentSince: null,
    });
  }

  recordsByVM(): ReadonlyMap<VMId, VMRecord> {
    return new Map([...this.#known].map(([vm, { record }]) => [vm, record]));
  }

  /** Reports that say what their VMs do now. */
  freshReports(): ReadonlyMap<VMId, VMReport> {
    const now = this.#clock.monotonicMilliseconds();
    const fresh = new Map<VMId, VMReport>();
    this.#known.forEach(({ report, reportedAt: heardAt, silentSince }, vm) => {
      if (report !== null && silentSince === null && now - heardAt <= FRESH_MILLISECONDS) {
        fresh.set(vm, report);
      }
    });
    return fresh;
  }

  observations(): readonly VMObservation[] {
    const now = this.#clock.monotonicMilliseconds();
    return [...this.#known.values()].map(({
      record, report, silentSince, unlistedSince,
    }) => ({
      record,
      report,
      unreachableMilliseconds: silentSince === null ? 0 : now - silentSince,
      unlistedMilliseconds: unlistedSince === null ? 0 : now - unlistedSince,
    }));
  }

  /** A VM at a new address is a new VM: what was known of the old one is void. */
  #join(record: VMRecord, now: number): TrackedVM {
    const known = this.#known.get(record.vm);
    return known?.record.address === record.address
      ? { ...known, record, unlistedSince: null }
      : createKnown(record, now);
  }
}
