import {
  EMPTY_RELEASE_STATE, parseWith, ReleaseSequence, type ServingError, type TableStore,
} from '@dandelionlane/core';
import type { ResultAsync } from 'neverthrow';
import ABSENT_ROW_VERSION from './ABSENT_ROW_VERSION.js';
import ReleaseSnapshot from './ReleaseSnapshot.js';
import SNAPSHOT_ROW from './SNAPSHOT_ROW.js';
import type StoredSnapshot from './StoredSnapshot.js';

/** Stands in for an absent row: an empty log from which no change was deleted. */
const EMPTY_SNAPSHOT: ReleaseSnapshot = {
  sequence: EMPTY_RELEASE_STATE.sequence,
  teamWeights: [],
  availabilityZonesOut: [],
  vmsOut: [],
  parts: 0,
  firstChange: ReleaseSequence.parse(1),
};

/** Reads the snapshot row, without its parts. */
export default function readSnapshot(store: TableStore): ResultAsync<StoredSnapshot, ServingError> {
  return store.read([SNAPSHOT_ROW]).andThen(([row]) => (
    parseWith(ReleaseSnapshot, row?.value ?? EMPTY_SNAPSHOT, 'platform-answer-invalid')
      .map((snapshot) => ({ ...snapshot, version: row?.version ?? ABSENT_ROW_VERSION }))
  ));
}
