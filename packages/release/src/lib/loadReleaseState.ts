import type { ReleaseState, ServingError, TableStore } from '@dandelionlane/core';
import type { ResultAsync } from 'neverthrow';
import followLog from './followLog.js';

/**
 * Loads the newest state that the store shows. The answer is never older than `known`:
 * a stale read gives `known` itself. An entry that starts passes `EMPTY_RELEASE_STATE`.
 *
 * Errors: `store-unavailable`; `platform-answer-invalid` for a row that has no such form.
 */
export default function loadReleaseState(
  store: TableStore,
  known: ReleaseState,
): ResultAsync<ReleaseState, ServingError> {
  return followLog(store, known).map(({ state }) => state);
}
