import type { WorkerId } from '@dandelionlane/core';

/** End of one worker process while it ran requests. */
export default interface TargetCrash {
  readonly id: WorkerId;
  /** Start of the process; null where targets do not report it. */
  readonly bornAt: number | null;
  /** Monotonic time at which its connections were lost, in ms. */
  readonly at: number;
}
