import { ReleaseRecord, TABLE_NAMES, type TableStore } from '@dandelionlane/core';
import unwrap from './unwrap.js';

/** Reads all records in the store, in order. */
export default async function readLog(store: TableStore): Promise<readonly ReleaseRecord[]> {
  const rows = unwrap(await store.scan(TABLE_NAMES.releases, 'change/'));
  return rows.map(({ value }) => ReleaseRecord.parse(value));
}
