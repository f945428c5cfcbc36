import { TABLE_NAMES, type TableRowKey } from '@dandelionlane/core';

/** Key of the row that holds a `ReleaseSnapshot`. */
const SNAPSHOT_ROW: TableRowKey = { table: TABLE_NAMES.releases, key: 'snapshot' };

export default SNAPSHOT_ROW;
