import {
  RowVersion, TABLE_NAMES,
  type RegionId, type TableCondition, type TableTransaction, type TableWrite, type VMId,
} from '@dandelionlane/core';
import type RegionRows from './RegionRows.js';
import type RowChange from './RowChange.js';

const ABSENT = RowVersion.parse(0);

function allocationCondition(region: RegionId, rows: RegionRows, vm: VMId): TableCondition {
  return {
    table: TABLE_NAMES.allocations,
    key: `${region}/${vm}`,
    version: rows.allocations.get(vm)?.version ?? ABSENT,
  };
}

/**
 * Creates the transaction of a row change. Invariant: it is conditional on the lease row and on
 * every row that it writes, so that at most one of two controllers that both believe they hold the
 * lease commits, and no VM is allocated to two replicas.
 */
export default function createRowTransaction(
  region: RegionId,
  rows: RegionRows,
  change: RowChange,
  leaseCondition: TableCondition,
): TableTransaction {
  const { service } = change.placement;
  const placementKey = { table: TABLE_NAMES.placements, key: `${region}/${service}` };
  const touched = [...change.allocate.map(({ vm }) => vm), ...change.free];
  const allocated: readonly TableWrite[] = change.allocate.map((allocation) => ({
    table: TABLE_NAMES.allocations, key: `${region}/${allocation.vm}`, value: allocation,
  }));
  const freed: readonly TableWrite[] = change.free.map((vm) => ({
    table: TABLE_NAMES.allocations, key: `${region}/${vm}`, value: null,
  }));
  return {
    conditions: [
      leaseCondition,
      { ...placementKey, version: rows.placements.get(service)?.version ?? ABSENT },
      ...touched.map((vm) => allocationCondition(region, rows, vm)),
    ],
    writes: [
      // The row remains after its last replica, so that readers can detect a stale read by its version.
      { ...placementKey, value: change.placement },
      ...allocated,
      ...freed,
    ],
  };
}
