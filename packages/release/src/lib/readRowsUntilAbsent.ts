import {
  parseWith, type ServingError, type TableRow, type TableRowKey, type TableStore,
} from '@dandelionlane/core';
import { okAsync, Result, type ResultAsync } from 'neverthrow';
import type { ZodType } from 'zod';

const ROWS_PER_READ = 100;

/** Returns the rows before the first absent one. */
function takeUntilAbsent(rows: readonly TableRow[]): readonly TableRow[] {
  const absent = rows.findIndex(({ value }) => value === null);
  return absent < 0 ? rows : rows.slice(0, absent);
}

/** Reads rows in the order of the keys and stops before the first absent one. */
export default function readRowsUntilAbsent<Value>(
  store: TableStore,
  keys: readonly TableRowKey[],
  schema: ZodType<Value>,
): ResultAsync<readonly Value[], ServingError> {
  if (keys.length === 0) {
    return okAsync([]);
  }
  const batch = keys.slice(0, ROWS_PER_READ);
  return store.read(batch)
    .andThen((rows) => Result.combine(
      takeUntilAbsent(rows).map(({ value }) => parseWith(schema, value, 'platform-answer-invalid')),
    ))
    .andThen((values) => (
      values.length < batch.length
        ? okAsync(values)
        : readRowsUntilAbsent(store, keys.slice(ROWS_PER_READ), schema).map((rest) => [...values, ...rest])
    ));
}
