import type { VMRecord, VMReport } from '@dandelionlane/core';

/** Observed state of one VM at the time of the plan. */
export default interface VMObservation {
  /** The VM as the platform last listed it. */
  readonly record: VMRecord;
  /** The VM's newest report, or null when it has never reported. */
  readonly report: VMReport | null;
  /** 0 while the newest report is fresh, else the time without reports. Finite if it never reported. */
  readonly unreachableMilliseconds: number;
  /**
   * Time for which the platform's list has omitted the VM; absent or 0 while it is listed. Callers
   * keep a VM in the input for a while after the list drops it, to tolerate lists that lag or
   * go back in time. A VM missing from the input counts as gone.
   */
  readonly unlistedMilliseconds?: number;
}
