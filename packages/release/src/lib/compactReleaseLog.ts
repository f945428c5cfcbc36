import {
  ReleaseSequence, type ReleaseState, type ServingError, type TableStore, type TableTransaction,
} from '@dandelionlane/core';
import { okAsync, type ResultAsync } from 'neverthrow';
import changeRow from './changeRow.js';
import readSnapshot from './readSnapshot.js';
import SNAPSHOT_ROW from './SNAPSHOT_ROW.js';
import type StoredSnapshot from './StoredSnapshot.js';

/** Records kept before the snapshot, for readers and publishers a little behind. */
const KEPT_RECORDS = 256;

/** Keeps the transaction within the 1,000 rows that the table service takes. */
const MAXIMUM_DELETIONS = 900;

/** Lowest sequence whose row stays. Rows before it go, in order, a bounded number at a time. */
function chooseFirstChange(snapshot: StoredSnapshot, state: ReleaseState): ReleaseSequence {
  const wanted = state.sequence - KEPT_RECORDS + 1;
  const reachable = snapshot.firstChange + MAXIMUM_DELETIONS;
  return ReleaseSequence.parse(Math.max(snapshot.firstChange, Math.min(wanted, reachable)));
}

function buildTransaction(snapshot: StoredSnapshot, state: ReleaseState): TableTransaction {
  const firstChange = chooseFirstChange(snapshot, state);
  const deletions = Array.from(
    { length: firstChange - snapshot.firstChange },
    (_, index) => ({ ...changeRow(snapshot.firstChange + index), value: null }),
  );
  return {
    conditions: [{ ...SNAPSHOT_ROW, version: snapshot.version }],
    writes: [{ ...SNAPSHOT_ROW, value: { state, firstChange } }, ...deletions],
  };
}

/**
 * Writes an accepted state as the snapshot and deletes the records well before it, in
 * one transaction: there is never a gap that the snapshot does not cover. The answer
 * says whether this call wrote; it does not where a newer snapshot stands already or
 * another process wrote at the same time.
 *
 * Whoever publishes a multiple of `SNAPSHOT_INTERVAL` calls this. A call that fails is
 * made up for by the next one.
 */
export default function compactReleaseLog(
  store: TableStore,
  state: ReleaseState,
): ResultAsync<boolean, ServingError> {
  return readSnapshot(store).andThen((snapshot) => (
    snapshot.state.sequence >= state.sequence
      ? okAsync(false)
      : store.commit(buildTransaction(snapshot, state)).map(({ kind }) => kind === 'committed')
  ));
}
