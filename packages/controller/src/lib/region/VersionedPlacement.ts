import type { RowVersion, ServicePlacement } from '@dandelionlane/core';

/** A placement row with the version at which it was read or written. */
export default interface VersionedPlacement {
  readonly placement: ServicePlacement;
  readonly version: RowVersion;
}
