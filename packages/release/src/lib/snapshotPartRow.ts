import { TABLE_NAMES, type TableRowKey } from '@dandelionlane/core';
import formatSequence from './formatSequence.js';
import SNAPSHOT_PART_PREFIX from './SNAPSHOT_PART_PREFIX.js';

const PART_DIGITS = 6;

/** Key of the row that holds one part of the snapshot at a sequence. */
export default function snapshotPartRow(sequence: number, part: number): TableRowKey {
  const suffix = String(part).padStart(PART_DIGITS, '0');
  return {
    table: TABLE_NAMES.releases,
    key: `${SNAPSHOT_PART_PREFIX}${formatSequence(sequence)}/${suffix}`,
  };
}
