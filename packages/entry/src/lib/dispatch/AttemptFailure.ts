import type { AttemptProgress, FailureCause } from '@dandelionlane/routing';

/** How an attempt failed, and how far it had come. */
export default interface AttemptFailure {
  readonly progress: AttemptProgress;
  readonly cause: FailureCause;
  readonly detail: string;
}
