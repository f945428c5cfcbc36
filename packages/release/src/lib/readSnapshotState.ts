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
 * Joins the parts of the snapshot. A missing part means that the snapshot row was read stale
 * or replaced in the meantime. The snapshot is then ignored and the reader retries later.
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

/** Reads the state of the snapshot, or the empty state if there is no complete one. */
export default function readSnapshotState(store: TableStore): ResultAsync<ReleaseState, ServingError> {
  return readSnapshot(store).andThen((snapshot) => {
    const keys = Array.from(
      { length: snapshot.parts },
      (_, part) => snapshotPartRow(snapshot.sequence, part),
    );
    return readRowsUntilAbsent(store, keys, SnapshotPart).map((parts) => joinState(snapshot, parts));
  });
}
