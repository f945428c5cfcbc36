import { type ReleaseState, ServingError, type TableStore } from '@dandelionlane/core';
import { err, ok, type ResultAsync } from 'neverthrow';
import catchUpWithLog from './catchUpWithLog.js';
import type LoadedRelease from './LoadedRelease.js';

/** Whether the log has changes, but a reader without a known state could read none of them. */
function hasReadNoRecords({ state, head }: LoadedRelease): boolean {
  return state.sequence === 0 && head.sequence > 0;
}

/**
 * Loads the newest state that the store returns. The result is never older than `known`:
 * a stale read returns `known` itself. An entry that starts passes `EMPTY_RELEASE_STATE`.
 *
 * Errors: `store-unavailable`, also if no state is known and reads are so stale that no
 * record was found, which must not be mistaken for an empty log; `platform-answer-invalid`
 * for a row that does not match its schema.
 */
export default function loadReleaseState(
  store: TableStore,
  known: ReleaseState,
): ResultAsync<ReleaseState, ServingError> {
  return catchUpWithLog(store, known).andThen((loaded) => (
    hasReadNoRecords(loaded)
      ? err(new ServingError('the release log could not be read', { kind: 'store-unavailable' }))
      : ok(loaded.state)
  ));
}
