import { RowVersion } from '@dandelionlane/core';

/** Version of a row that does not exist. */
const ABSENT = RowVersion.parse(0);

export default ABSENT;
