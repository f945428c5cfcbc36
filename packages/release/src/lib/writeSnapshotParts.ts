import type { ReleaseState, ServingError, TableStore } from '@dandelionlane/core';
import { okAsync, type ResultAsync } from 'neverthrow';
import snapshotPartRow from './snapshotPartRow.js';
import splitState from './splitState.js';

/**
 * Writes the parts of a snapshot, one transaction each, and returns their number. They are
 * not read until the snapshot row holds their sequence. Concurrent writers of the same
 * sequence write identical parts.
 */
export default function writeSnapshotParts(
  store: TableStore,
  state: ReleaseState,
): ResultAsync<number, ServingError> {
  const parts = splitState(state);
  return parts.reduce<ResultAsync<unknown, ServingError>>(
    (written, value, part) => written.andThen(() => store.commit({
      conditions: [], writes: [{ ...snapshotPartRow(state.sequence, part), value }],
    })),
    okAsync(undefined),
  ).map(() => parts.length);
}
