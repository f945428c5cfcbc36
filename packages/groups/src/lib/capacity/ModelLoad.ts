import type { ModelName } from '@dandelionlane/core';

/** Demand and groups of one model of a service. */
export default interface ModelLoad {
  readonly name: ModelName;
  /** Workers that form one group. */
  readonly groupSize: number;
  /** Workers that the configured share gives it. */
  readonly configuredWorkers: number;
  /** Most urgent priority of its requests, 0 first; null if unknown. */
  readonly priority: number | null;
  /** Requests that it has had for as long as a move takes. */
  readonly standingRequests: number;
  /** Requests that it has now or has had on average, whichever are more. */
  readonly highestRequests: number;
  /** Groups that serve or form, without faulty members, in zones that are in service. */
  readonly groups: number;
  /** Groups of these that are open with all members. */
  readonly openGroups: number;
}
