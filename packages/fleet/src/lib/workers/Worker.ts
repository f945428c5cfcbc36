import type {
  AvailabilityZoneId, FabricDomainId, ModelName, ServiceId, WorkerId,
} from '@dandelionlane/core';
import type GroupMembership from './GroupMembership.js';

/** A worker process as it registers itself. */
export default interface Worker {
  readonly id: WorkerId;
  readonly service: ServiceId;
  /** Host and port. */
  readonly address: string;
  readonly zone: AvailabilityZoneId;
  readonly domain: FabricDomainId | null;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Whether it is about to leave and takes no new work. */
  readonly draining: boolean;
  /** How much longer it stays in cold start, as of the time of its registration, in ms. */
  readonly coldMilliseconds: number;
  /** Unix time of its start in ms; tells lives under one id apart. Null where it is not told. */
  readonly bornAt: number | null;
  /** Models that it has loaded. */
  readonly models: readonly ModelName[];
  /** Models whose weights its host has. */
  readonly stagedModels: readonly ModelName[];
  readonly group: GroupMembership | null;
}
