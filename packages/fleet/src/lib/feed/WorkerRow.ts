import type { WorkerId } from '@dandelionlane/core';
import type Worker from '../workers/Worker.js';

/** What a row of the workers' registrations says. */
type WorkerRow = | { readonly kind: 'registered'; readonly worker: Worker }
  | { readonly kind: 'gone'; readonly id: WorkerId }
  /** Not readable: it names no worker to use. */
  | { readonly kind: 'invalid'; readonly id: WorkerId; readonly reason: string };

export default WorkerRow;
