import {
  type Clock, type VMId, type VMRecord, type VMReport,
} from '@dandelionlane/core';
import type { VMObservation } from '@dandelionlane/placement';

function isOlder(report: VMReport, previous: VMReport | null): boolean {
  if (previous === null) {
    return false;
  }
  if (report.incarnation !== previous.incarnation) {
    return report.incarnation < previous.incarnation;
  }
  return report.sequence < previous.sequence;
}

/** What is known of one VM. */
interface KnownVM {
  readonly record: VMRecord;
  readonly report: VMReport | null;
  /** Monotonic time of the last report, or of the first question when none came. */
  readonly heardAt: number;
}

/** The controller's view of the VMs: the platform's list joined with the VMs' own reports. */
export default class FleetView {
  readonly #clock: Clock;

  #known = new Map<VMId, KnownVM>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes in a list. VMs that are no longer listed are forgotten. */
  list(records: readonly VMRecord[]): void {
    const now = this.#clock.monotonicMilliseconds();
    this.#known = new Map(records.map((record) => {
      const known = this.#known.get(record.vm);
      const sameAddress = known?.record.address === record.address;
      return [record.vm, {
        record,
        report: sameAddress ? known.report : null,
        heardAt: sameAddress ? known.heardAt : now,
      }];
    }));
  }

  /** Takes in a report; one that is older than the last is ignored. */
  hear(report: VMReport): void {
    const known = this.#known.get(report.vm);
    if (known === undefined || isOlder(report, known.report)) {
      return;
    }
    this.#known.set(report.vm, { ...known, report, heardAt: this.#clock.monotonicMilliseconds() });
  }

  records(): readonly VMRecord[] {
    return [...this.#known.values()].map(({ record }) => record);
  }

  recordMap(): ReadonlyMap<VMId, VMRecord> {
    return new Map([...this.#known].map(([vm, { record }]) => [vm, record]));
  }

  /** Reports that are younger than the given age in milliseconds. */
  freshReports(maximumAgeMilliseconds: number): ReadonlyMap<VMId, VMReport> {
    const now = this.#clock.monotonicMilliseconds();
    const fresh = new Map<VMId, VMReport>();
    this.#known.forEach(({ report, heardAt }, vm) => {
      if (report !== null && now - heardAt <= maximumAgeMilliseconds) {
        fresh.set(vm, report);
      }
    });
    return fresh;
  }

  observations(): readonly VMObservation[] {
    const now = this.#clock.monotonicMilliseconds();
    return [...this.#known.values()].map(({ record, report, heardAt }) => ({
      record, report, unreachableMilliseconds: now - heardAt,
    }));
  }
}
