import { ResultAsync, Result } from 'neverthrow';
import {
  Allocation, ServicePlacement, TABLE_NAMES, parseWith,
  type RegionId, type ServiceId, type ServingError, type TableRow, type TableStore, type VMId,
} from '@dandelionlane/core';
import type RegionRows from './RegionRows.js';
import type VersionedAllocation from './VersionedAllocation.js';
import type VersionedPlacement from './VersionedPlacement.js';

function parsePlacement(row: TableRow): Result<readonly [ServiceId, VersionedPlacement], ServingError> {
  return parseWith(ServicePlacement, row.value, 'platform-answer-invalid')
    .map((placement) => [placement.service, { placement, version: row.version }] as const);
}

function parseAllocation(row: TableRow): Result<readonly [VMId, VersionedAllocation], ServingError> {
  return parseWith(Allocation, row.value, 'platform-answer-invalid')
    .map((allocation) => [allocation.vm, { allocation, version: row.version }] as const);
}

/** Reads all placement and allocation rows of a region. Fails on a malformed row instead of skipping it. */
export default function readRegionRows(
  store: TableStore,
  region: RegionId,
): ResultAsync<RegionRows, ServingError> {
  return ResultAsync.combine([
    store.scan(TABLE_NAMES.placements, `${region}/`),
    store.scan(TABLE_NAMES.allocations, `${region}/`),
  ]).andThen(([placementRows, allocationRows]) => Result.combine([
    Result.combine(placementRows.map(parsePlacement)),
    Result.combine(allocationRows.map(parseAllocation)),
  ])).map(([placements, allocations]) => ({
    placements: new Map(placements),
    allocations: new Map(allocations),
  }));
}
