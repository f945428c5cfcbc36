import type { WorkerId } from '@dandelionlane/core';
import type Worker from '../workers/Worker.js';

/** Decoded row of a worker's registration. */
type WorkerRow = | { readonly kind: 'registered'; readonly worker: Worker }
  | { readonly kind: 'gone'; readonly id: WorkerId }
  /** The row cannot be decoded, so the worker is not used. */
  | { readonly kind: 'invalid'; readonly key: string; readonly reason: string };

export default WorkerRow;
