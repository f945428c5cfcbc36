import type { ResultAsync } from 'neverthrow';
import type { ServingError } from '@dandelionlane/core';
import type OrderOutcome from './OrderOutcome.js';
import type OrderStamp from './OrderStamp.js';
import type Worker from './Worker.js';
import type WorkerOrder from './WorkerOrder.js';
import type WorkerReport from './WorkerReport.js';

/** Client of the control interface of model workers. */
export default interface WorkerPort {
  /** Errors: `target-timeout`, `target-lost`, `platform-answer-invalid`. */
  report(worker: Worker, timeoutMilliseconds: number): ResultAsync<WorkerReport, ServingError>;

  /** Errors: `target-timeout`, `target-lost`; in both cases the order may still be carried out. */
  order(
    worker: Worker,
    order: WorkerOrder,
    stamp: OrderStamp,
    timeoutMilliseconds: number,
  ): ResultAsync<OrderOutcome, ServingError>;
}
