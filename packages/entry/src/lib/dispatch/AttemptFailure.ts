import type { AttemptProgress, FailureCause } from '@dandelionlane/routing';

/** Why an attempt failed, and how far it had progressed. */
export default interface AttemptFailure {
  readonly progress: AttemptProgress;
  readonly cause: FailureCause;
  readonly detail: string;
}
