import { TABLE_NAMES, type TableRowKey } from '@dandelionlane/core';
import formatSequence from './formatSequence.js';

/** Key of the row that holds the record of a change. */
export default function changeRow(sequence: number): TableRowKey {
  return { table: TABLE_NAMES.releases, key: `change/${formatSequence(sequence)}` };
}
