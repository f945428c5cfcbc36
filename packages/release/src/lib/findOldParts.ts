import {
  type ReleaseSequence, type ServingError, TABLE_NAMES, type TableRowKey, type TableStore,
} from '@dandelionlane/core';
import type { ResultAsync } from 'neverthrow';
import SNAPSHOT_PART_PREFIX from './SNAPSHOT_PART_PREFIX.js';
import snapshotPartRow from './snapshotPartRow.js';

/** Finds the parts of snapshots before a sequence, including those of incomplete snapshots. */
export default function findOldParts(
  store: TableStore,
  sequence: ReleaseSequence,
): ResultAsync<readonly TableRowKey[], ServingError> {
  const { key: firstKept } = snapshotPartRow(sequence, 0);
  return store.scan(TABLE_NAMES.releases, SNAPSHOT_PART_PREFIX).map((rows) => rows
    .filter(({ key }) => key < firstKept)
    .map(({ table, key }) => ({ table, key })));
}
