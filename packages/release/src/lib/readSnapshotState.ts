import {
  EMPTY_RELEASE_STATE, type ReleaseState, type ServingError, type TableStore,
} from '@dandelionlane/core';
import type { ResultAsync } from 'neverthrow';
import readRowsUntilAbsent from './readRowsUntilAbsent.js';
import readSnapshot from './readSnapshot.js';
import type ReleaseSnapshot from './ReleaseSnapshot.js';
import SnapshotPart from './SnapshotPart.js';
import snapshotPartRow from './snapshotPartRow.js';

/**
 * Joins the snapshot. Where a part is missing, the row was read stale or replaced in the
 * meantime; it then counts as no snapshot, and the reader tries again later.
 */
function joinState(snapshot: ReleaseSnapshot, parts: readonly SnapshotPart[]): ReleaseState {
  const {
    sequence, teamWeights, availabilityZonesOut, vmsOut,
  } = snapshot;
  return parts.length < snapshot.parts ? EMPTY_RELEASE_STATE : {
    sequence,
    services: parts.flatMap(({ services }) => services),
    withdrawn: parts.flatMap(({ withdrawn }) => withdrawn),
    teamWeights,
    availabilityZonesOut,
    vmsOut,
  };
}

/** Reads the state of the snapshot; the empty state where there is none. */
export default function readSnapshotState(store: TableStore): ResultAsync<ReleaseState, ServingError> {
  return readSnapshot(store).andThen((snapshot) => {
    const keys = Array.from(
      { length: snapshot.parts },
      (_, part) => snapshotPartRow(snapshot.sequence, part),
    );
    return readRowsUntilAbsent(store, keys, SnapshotPart).map((parts) => joinState(snapshot, parts));
  });
}
