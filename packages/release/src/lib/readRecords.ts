import { ReleaseRecord, type ServingError, type TableStore } from '@dandelionlane/core';
import type { ResultAsync } from 'neverthrow';
import changeRow from './changeRow.js';
import readRowsUntilAbsent from './readRowsUntilAbsent.js';

/**
 * Reads the records after the sequence `after` up to `last`, in order, and stops before the
 * first absent one, which was compacted away or missed by a stale read.
 */
export default function readRecords(
  store: TableStore,
  after: number,
  last: number,
): ResultAsync<readonly ReleaseRecord[], ServingError> {
  const length = Math.max(0, last - after);
  const keys = Array.from({ length }, (_, index) => changeRow(after + index + 1));
  return readRowsUntilAbsent(store, keys, ReleaseRecord);
}
