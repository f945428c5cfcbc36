import type { ServiceId, VMId } from '@dandelionlane/core';
import type VersionedAllocation from './VersionedAllocation.js';
import type VersionedPlacement from './VersionedPlacement.js';

/** Rows of one region, which only the holder of its lease writes. */
export default interface RegionRows {
  readonly placements: ReadonlyMap<ServiceId, VersionedPlacement>;
  readonly allocations: ReadonlyMap<VMId, VersionedAllocation>;
}
