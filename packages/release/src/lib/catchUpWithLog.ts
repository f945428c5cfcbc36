import type { ReleaseState, ServingError, TableStore } from '@dandelionlane/core';
import { okAsync, type ResultAsync } from 'neverthrow';
import applyRecords from './applyRecords.js';
import chooseNewerState from './chooseNewerState.js';
import type LoadedRelease from './LoadedRelease.js';
import readHead from './readHead.js';
import readRecords from './readRecords.js';
import readSnapshotState from './readSnapshotState.js';
import type ReleaseHead from './ReleaseHead.js';
import SNAPSHOT_INTERVAL from './SNAPSHOT_INTERVAL.js';

/** Reads and applies the records after the loaded state. */
function applyNewRecords(store: TableStore, loaded: LoadedRelease): ResultAsync<LoadedRelease, ServingError> {
  return readRecords(store, loaded.state.sequence, loaded.head.sequence).andThen((records) => (
    applyRecords(loaded.state, records).map((state) => ({
      ...loaded, state, records: [...loaded.records, ...records],
    }))
  ));
}

/** Continues from the snapshot if it is newer than the loaded state. */
function applySnapshot(store: TableStore, loaded: LoadedRelease): ResultAsync<LoadedRelease, ServingError> {
  return readSnapshotState(store).andThen((snapshot) => {
    const state = chooseNewerState(loaded.state, snapshot);
    return state === loaded.state
      ? okAsync(loaded)
      : applyNewRecords(store, { ...loaded, state, isFromSnapshot: true });
  });
}

function isBehind({ state, head }: LoadedRelease): boolean {
  return state.sequence < head.sequence;
}

/** Reads the records directly if they are few; otherwise starts from the snapshot to skip most of them. */
function catchUp(
  store: TableStore,
  known: ReleaseState,
  head: ReleaseHead,
): ResultAsync<LoadedRelease, ServingError> {
  const start: LoadedRelease = {
    state: known, head, records: [], isFromSnapshot: false,
  };
  const isFarBehind = head.sequence - known.sequence > SNAPSHOT_INTERVAL;
  const first = isFarBehind ? applySnapshot(store, start) : applyNewRecords(store, start);
  return first.andThen((loaded) => {
    if (!isBehind(loaded)) {
      return okAsync(loaded);
    }
    return isFarBehind ? applyNewRecords(store, loaded) : applySnapshot(store, loaded);
  });
}

/**
 * Brings a known state up to the head of the log, from its records or from the snapshot.
 * The result may end before the head if reads are stale.
 */
export default function catchUpWithLog(
  store: TableStore,
  known: ReleaseState,
): ResultAsync<LoadedRelease, ServingError> {
  return readHead(store).andThen((head) => catchUp(store, known, head));
}
