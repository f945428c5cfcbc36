import type { Grant, RowVersion } from '@dandelionlane/core';

/** A grant as an entry read it. */
export default interface GrantSnapshot {
  readonly grant: Grant;
  /** Version of the placement row. A reading of an older version is ignored. */
  readonly version: RowVersion;
  /** When the read began, not when its answer came. */
  readonly readAtMilliseconds: number;
}
