import type { ModelName } from '@dandelionlane/core';
import type { Worker, WorkerReport } from '@dandelionlane/fleet';

/** State of one worker as observed by the holder of the lease. */
export default interface ObservedWorker {
  readonly worker: Worker;
  /** Whether it is registered, or its registration has lapsed and may return. */
  readonly isRegistered: boolean;
  /** Latest report of this instance, or null. */
  readonly report: WorkerReport | null;
  /** Whether this instance has certainly ended: another one answers at its address. */
  readonly hasEnded: boolean;
  /** Weighted count of consecutive unanswered probes. */
  readonly misses: number;
  /** Time since its last answer, or since it was first observed, in ms. */
  readonly silentMilliseconds: number;
  /** Time since its group or the state of its group last changed, in ms. */
  readonly groupStateMilliseconds: number;
  /** Model of the group that it last joined by an order of this term, or null. */
  readonly lastModel: ModelName | null;
  /** Whether it recently accepted an order to open its group. */
  readonly isOpening: boolean;
  /** Whether an order is in flight, or has ended without its effect being reported yet. */
  readonly hasPendingOrder: boolean;
}
