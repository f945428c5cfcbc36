import { RowVersion } from '@dandelionlane/core';

/** Version of a row that does not exist. */
const ABSENT_ROW_VERSION = RowVersion.parse(0);

export default ABSENT_ROW_VERSION;
