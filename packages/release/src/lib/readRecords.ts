import {
  parseWith, ReleaseRecord, type ServingError, type TableRow, type TableStore,
} from '@dandelionlane/core';
import { okAsync, Result, type ResultAsync } from 'neverthrow';
import changeRow from './changeRow.js';

const ROWS_PER_READ = 100;

/** Rows before the first absent one. */
function takePresent(rows: readonly TableRow[]): readonly TableRow[] {
  const absent = rows.findIndex(({ value }) => value === null);
  return absent < 0 ? rows : rows.slice(0, absent);
}

function parseRecords(rows: readonly TableRow[]): Result<readonly ReleaseRecord[], ServingError> {
  return Result.combine(
    takePresent(rows).map(({ value }) => parseWith(ReleaseRecord, value, 'platform-answer-invalid')),
  );
}

/**
 * Reads the records after one sequence up to another, in order, and ends before the
 * first that is absent: it was compacted away, or the read is stale.
 */
export default function readRecords(
  store: TableStore,
  after: number,
  last: number,
): ResultAsync<readonly ReleaseRecord[], ServingError> {
  const count = Math.min(last - after, ROWS_PER_READ);
  if (count <= 0) {
    return okAsync([]);
  }
  const keys = Array.from({ length: count }, (_, index) => changeRow(after + index + 1));
  return store.read(keys).andThen(parseRecords).andThen((records) => (
    records.length < count
      ? okAsync(records)
      : readRecords(store, after + count, last).map((rest) => [...records, ...rest])
  ));
}
