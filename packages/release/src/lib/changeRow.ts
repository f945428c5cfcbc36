import { TABLE_NAMES, type TableRowKey } from '@dandelionlane/core';
import formatSequence from './formatSequence.js';

/** Address of the row of one change. */
export default function changeRow(sequence: number): TableRowKey {
  return { table: TABLE_NAMES.releases, key: `change/${formatSequence(sequence)}` };
}
