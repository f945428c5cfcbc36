import type ObservedWorker from '../observation/ObservedWorker.js';
import type GroupRecord from './GroupRecord.js';

/** Whether a worker reports membership in the current formation of a record. */
export default function isMemberOf(record: GroupRecord, observed: ObservedWorker | undefined): boolean {
  const group = observed?.report?.group ?? null;
  return group !== null && group.name === record.name && group.epoch === record.epoch;
}
