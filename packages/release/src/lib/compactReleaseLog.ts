import {
  ReleaseSequence, type ReleaseState, type ServingError, type TableRowKey, type TableStore,
  type TableTransaction,
} from '@dandelionlane/core';
import { okAsync, type ResultAsync } from 'neverthrow';
import changeRow from './changeRow.js';
import findOldParts from './findOldParts.js';
import readSnapshot from './readSnapshot.js';
import type ReleaseSnapshot from './ReleaseSnapshot.js';
import SNAPSHOT_ROW from './SNAPSHOT_ROW.js';
import type StoredSnapshot from './StoredSnapshot.js';
import writeSnapshotParts from './writeSnapshotParts.js';

/** Number of records kept before the snapshot, for readers and publishers that lag slightly. */
const KEPT_RECORDS = 256;

/** Together these limits keep the transaction within the 1,000 rows that the table service accepts. */
const MAXIMUM_RECORD_DELETIONS = 600;
const MAXIMUM_PART_DELETIONS = 300;

/** Lowest sequence whose row is kept. Earlier rows are deleted in order, a bounded number each time. */
function chooseFirstChange(previous: StoredSnapshot, state: ReleaseState): ReleaseSequence {
  const wanted = state.sequence - KEPT_RECORDS + 1;
  const reachable = previous.firstChange + MAXIMUM_RECORD_DELETIONS;
  return ReleaseSequence.parse(Math.max(previous.firstChange, Math.min(wanted, reachable)));
}

function buildSnapshot(previous: StoredSnapshot, state: ReleaseState, parts: number): ReleaseSnapshot {
  const {
    sequence, teamWeights, availabilityZonesOut, vmsOut,
  } = state;
  const firstChange = chooseFirstChange(previous, state);
  return {
    sequence, teamWeights, availabilityZonesOut, vmsOut, parts, firstChange,
  };
}

/** Replaces the previous snapshot and deletes the records and parts that the new one supersedes. */
function buildTransaction(
  previous: StoredSnapshot,
  snapshot: ReleaseSnapshot,
  oldParts: readonly TableRowKey[],
): TableTransaction {
  const oldRecords = Array.from(
    { length: snapshot.firstChange - previous.firstChange },
    (_, index) => changeRow(previous.firstChange + index),
  );
  const deletions = [...oldRecords, ...oldParts.slice(0, MAXIMUM_PART_DELETIONS)];
  return {
    conditions: [{ ...SNAPSHOT_ROW, version: previous.version }],
    writes: [{ ...SNAPSHOT_ROW, value: snapshot }, ...deletions.map((key) => ({ ...key, value: null }))],
  };
}

function replaceSnapshot(
  store: TableStore,
  previous: StoredSnapshot,
  state: ReleaseState,
): ResultAsync<boolean, ServingError> {
  return writeSnapshotParts(store, state)
    .andThen((parts) => findOldParts(store, state.sequence).andThen((oldParts) => (
      store.commit(buildTransaction(previous, buildSnapshot(previous, state, parts), oldParts))
    )))
    .map(({ kind }) => kind === 'committed');
}

/**
 * Writes an accepted state as the snapshot and deletes the records well before it. One
 * transaction replaces the snapshot row and deletes, so the log never has a gap that the
 * snapshot does not cover. Returns whether this call wrote the snapshot: false if an equally
 * new or newer one exists or another process wrote concurrently.
 *
 * Called by the publisher of each multiple of `SNAPSHOT_INTERVAL`. The next call makes up
 * for one that failed.
 */
export default function compactReleaseLog(
  store: TableStore,
  state: ReleaseState,
): ResultAsync<boolean, ServingError> {
  return readSnapshot(store).andThen((previous) => (
    previous.sequence >= state.sequence ? okAsync(false) : replaceSnapshot(store, previous, state)
  ));
}
