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

/** Adds the records that follow the loaded state. */
function addRecords(store: TableStore, loaded: LoadedRelease): ResultAsync<LoadedRelease, ServingError> {
  return readRecords(store, loaded.state.sequence, loaded.head.sequence).andThen((records) => (
    applyRecords(loaded.state, records).map((state) => ({
      ...loaded, state, records: [...loaded.records, ...records],
    }))
  ));
}

/** Goes on from the snapshot if that is newer than the loaded state. */
function addSnapshot(store: TableStore, loaded: LoadedRelease): ResultAsync<LoadedRelease, ServingError> {
  return readSnapshotState(store).andThen((snapshot) => {
    const state = chooseNewerState(loaded.state, snapshot);
    return state === loaded.state
      ? okAsync(loaded)
      : addRecords(store, { ...loaded, state, isFromSnapshot: true });
  });
}

function isBehind({ state, head }: LoadedRelease): boolean {
  return state.sequence < head.sequence;
}

/** Reads the records at once where they are few; else the snapshot makes most of them needless. */
function follow(
  store: TableStore,
  known: ReleaseState,
  head: ReleaseHead,
): ResultAsync<LoadedRelease, ServingError> {
  const start: LoadedRelease = {
    state: known, head, records: [], isFromSnapshot: false,
  };
  const isFarBehind = head.sequence - known.sequence > SNAPSHOT_INTERVAL;
  const first = isFarBehind ? addSnapshot(store, start) : addRecords(store, start);
  return first.andThen((loaded) => {
    if (!isBehind(loaded)) {
      return okAsync(loaded);
    }
    return isFarBehind ? addRecords(store, loaded) : addSnapshot(store, loaded);
  });
}

/**
 * Follows the log from a known state to the head, by its records or from the snapshot.
 * Where reads are stale, the answer may end before the head.
 */
export default function catchUpWithLog(
  store: TableStore,
  known: ReleaseState,
): ResultAsync<LoadedRelease, ServingError> {
  return readHead(store).andThen((head) => follow(store, known, head));
}
