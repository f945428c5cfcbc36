import type { VMRecord, VMReport } from '@dandelionlane/core';

/** What the planner knows of one VM at the time of the plan. */
export default interface VMObservation {
  /** The VM as the platform last listed it. */
  readonly record: VMRecord;
  /** Its newest report, or null when it has never reported. */
  readonly report: VMReport | null;
  /** 0 while the newest report is fresh, else how long it has been silent. Finite if it never reported. */
  readonly unreachableMilliseconds: number;
  /**
   * How long the platform's list has been without the VM. Absent or 0 while the VM is
   * listed. A shell that keeps a VM here after the list dropped it protects the plan
   * from lists that lag or go back; a VM missing from the input counts as gone.
   */
  readonly unlistedMilliseconds?: number;
}
