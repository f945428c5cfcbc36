import type { RowVersion } from '@dandelionlane/core';
import type ReleaseSnapshot from './ReleaseSnapshot.js';

/** A snapshot with the version of its row; version 0 means that the row does not exist yet. */
export default interface StoredSnapshot extends ReleaseSnapshot {
  readonly version: RowVersion;
}
