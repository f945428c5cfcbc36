import type { ModelName } from '@dandelionlane/core';
import type { Worker, WorkerReport } from '@dandelionlane/fleet';

/** What the holder of the lease knows of one worker. */
export default interface ObservedWorker {
  readonly worker: Worker;
  /** Whether its registration stands in the store. */
  readonly isRegistered: boolean;
  /** Last answer of this life, or null. */
  readonly report: WorkerReport | null;
  /** Whether this life has surely ended: another answers at its address. */
  readonly hasEnded: boolean;
  /** Questions in a row that went unanswered. */
  readonly misses: number;
  /** Time since its last answer, or since it was first asked, in ms. */
  readonly silentMilliseconds: number;
  /** Time since its reported group or its state changed, in ms. */
  readonly groupStateMilliseconds: number;
  /** Model of the group that it last joined by an order of this term, or null. */
  readonly lastModel: ModelName | null;
  /** Whether it has accepted to open its group a moment ago. */
  readonly isOpening: boolean;
  /** Whether an order is under way, or its answer was lost and no report has come since. */
  readonly hasPendingOrder: boolean;
}
