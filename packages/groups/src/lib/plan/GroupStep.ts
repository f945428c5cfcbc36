import type { GroupName, WorkerId } from '@dandelionlane/core';
import type { WorkerOrder } from '@dandelionlane/fleet';
import type GroupRecord from './GroupRecord.js';

/**
 * One step of a plan. While the store is reachable, records are written before any order of the same
 * plan is sent.
 */
type GroupStep = | { readonly kind: 'write'; readonly record: GroupRecord; readonly reason: string }
  | { readonly kind: 'delete'; readonly name: GroupName; readonly reason: string }
  | { readonly kind: 'order'; readonly worker: WorkerId; readonly order: WorkerOrder; readonly loadsWeights: boolean };

export default GroupStep;
