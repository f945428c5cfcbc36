import type { ReleaseState, ServingError, TableStore } from '@dandelionlane/core';
import { okAsync, type ResultAsync } from 'neverthrow';
import snapshotPartRow from './snapshotPartRow.js';
import splitState from './splitState.js';

/**
 * Writes the parts of a snapshot, one transaction each, and gives their number. Nobody
 * reads them before the snapshot row names their sequence. Two processes that write the
 * same sequence write the same parts.
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
