import {
  type Clock, type VMId, type VMRecord, type VMReport,
} from '@dandelionlane/core';
import type { VMObservation } from '@dandelionlane/placement';

/** Whether a report was made before the last one, or is the same. */
function isOlder(report: VMReport, previous: VMReport | null): boolean {
  if (previous === null) {
    return false;
  }
  if (report.incarnation !== previous.incarnation) {
    return report.incarnation < previous.incarnation;
  }
  return report.sequence <= previous.sequence;
}

/** What is known of one VM. */
interface KnownVM {
  readonly record: VMRecord;
  readonly report: VMReport | null;
  /** Monotonic time of the last report, or of the first question when none came. */
  readonly heardAt: number;
  /** Monotonic time since when the list has been without the VM; null while it is listed. */
  readonly unlistedSince: number | null;
}

/** Age up to which a report counts as fresh, in milliseconds. */
const FRESH_MILLISECONDS = 3_000;

/** How long a VM that the list dropped is kept in view, since lists lag and go back. */
const UNLISTED_LIMIT_MILLISECONDS = 60_000;

/** The controller's view of the VMs: the platform's list joined with the VMs' own reports. */
export default class FleetView {
  readonly #clock: Clock;

  #known = new Map<VMId, KnownVM>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes in a list. A VM that it dropped stays in view for a while. */
  list(records: readonly VMRecord[]): void {
    const now = this.#clock.monotonicMilliseconds();
    const listed = new Map(records.map((record) => [record.vm, this.#listed(record, now)] as const));
    this.#known.forEach((known, vm) => {
      const unlistedSince = known.unlistedSince ?? now;
      if (!listed.has(vm) && now - unlistedSince < UNLISTED_LIMIT_MILLISECONDS) {
        listed.set(vm, { ...known, unlistedSince });
      }
    });
    this.#known = listed;
  }

  /** Takes in a report; one that is repeated or older than the last is no sign of life. */
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
    return [...this.#known.values()].map(({
      record, report, heardAt, unlistedSince,
    }) => ({
      record,
      report,
      unreachableMilliseconds: this.#silence(heardAt, now),
      unlistedMilliseconds: unlistedSince === null ? 0 : now - unlistedSince,
    }));
  }

  /** A VM at a new address is a new VM: what was known of the old one is void. */
  #listed(record: VMRecord, now: number): KnownVM {
    const known = this.#known.get(record.vm);
    return known?.record.address === record.address
      ? { ...known, record, unlistedSince: null }
      : {
        record, report: null, heardAt: now, unlistedSince: null,
      };
  }

  /** 0 while the last report is fresh. */
  // eslint-disable-next-line class-methods-use-this -- belongs to the observations
  #silence(heardAt: number, now: number): number {
    return now - heardAt <= FRESH_MILLISECONDS ? 0 : now - heardAt;
  }
}
