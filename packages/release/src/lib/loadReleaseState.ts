import { type ReleaseState, ServingError, type TableStore } from '@dandelionlane/core';
import { err, ok, type ResultAsync } from 'neverthrow';
import catchUpWithLog from './catchUpWithLog.js';
import type LoadedRelease from './LoadedRelease.js';

/** Whether the log has changes and the reader, who knew none, found none of them. */
function hasFoundNothing({ state, head }: LoadedRelease): boolean {
  return state.sequence === 0 && head.sequence > 0;
}

/**
 * Loads the newest state that the store shows. The answer is never older than `known`:
 * a stale read gives `known` itself. An entry that starts passes `EMPTY_RELEASE_STATE`.
 *
 * Errors: `store-unavailable`, also where nothing is known and reads lag so far that
 * nothing was found, which must not pass for the empty log; `platform-answer-invalid` for
 * a row that has no such form.
 */
export default function loadReleaseState(
  store: TableStore,
  known: ReleaseState,
): ResultAsync<ReleaseState, ServingError> {
  return catchUpWithLog(store, known).andThen((loaded) => (
    hasFoundNothing(loaded)
      ? err(new ServingError('the release log could not be read', { kind: 'store-unavailable' }))
      : ok(loaded.state)
  ));
}
