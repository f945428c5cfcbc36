import type { RowVersion } from '@dandelionlane/core';
import type ReleaseSnapshot from './ReleaseSnapshot.js';

/** A snapshot with the version of its row. Version 0: there is no row yet. */
export default interface StoredSnapshot extends ReleaseSnapshot {
  readonly version: RowVersion;
}
