import type { RowVersion } from '@dandelionlane/core';
import type RegionRows from './RegionRows.js';
import type RowChange from './RowChange.js';

/** The rows after a change has been committed at the given version. */
export default function applyRowChange(rows: RegionRows, change: RowChange, version: RowVersion): RegionRows {
  const placements = new Map(rows.placements);
  placements.set(change.placement.service, { placement: change.placement, version });
  const allocations = new Map(rows.allocations);
  change.allocate.forEach((allocation) => allocations.set(allocation.vm, { allocation, version }));
  change.free.forEach((vm) => allocations.delete(vm));
  return { placements, allocations };
}
