import { TABLE_NAMES, type TableRowKey } from '@dandelionlane/core';

const SEQUENCE_DIGITS = 12;

/** Address of the row of one change. Keys sort in the order of the log. */
export default function changeRow(sequence: number): TableRowKey {
  return { table: TABLE_NAMES.releases, key: `change/${String(sequence).padStart(SEQUENCE_DIGITS, '0')}` };
}
