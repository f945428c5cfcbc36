import { TABLE_NAMES, type TableRowKey } from '@dandelionlane/core';

/** Key of the row that holds the latest accepted sequence. */
const HEAD_ROW: TableRowKey = { table: TABLE_NAMES.releases, key: 'head' };

export default HEAD_ROW;
