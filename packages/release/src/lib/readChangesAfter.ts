import type {
  ReleaseRecord, ReleaseSequence, ServingError, TableStore,
} from '@dandelionlane/core';
import type { ResultAsync } from 'neverthrow';
import readHead from './readHead.js';
import readRecords from './readRecords.js';

/**
 * Reads the records after a sequence, in order and without a gap. They may end before the
 * head, or be empty, if records were compacted away; `loadReleaseState` then starts from
 * the snapshot.
 */
export default function readChangesAfter(
  store: TableStore,
  sequence: ReleaseSequence,
): ResultAsync<readonly ReleaseRecord[], ServingError> {
  return readHead(store).andThen((head) => readRecords(store, sequence, head.sequence));
}
