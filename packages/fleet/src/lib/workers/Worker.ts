import type {
  AvailabilityZoneId, FabricDomainId, ModelName, ServiceId, WorkerId,
} from '@dandelionlane/core';
import type GroupMembership from './GroupMembership.js';

/** A worker process as registered. */
export default interface Worker {
  readonly id: WorkerId;
  readonly service: ServiceId;
  /** Host and port. */
  readonly address: string;
  readonly zone: AvailabilityZoneId;
  readonly domain: FabricDomainId | null;
  /** Requests that it runs concurrently. */
  readonly slots: number;
  /** Whether it is leaving and accepts no new requests. */
  readonly draining: boolean;
  /** Remaining time of its cold start when it was registered, in ms. */
  readonly coldMilliseconds: number;
  /** Unix time of its start in ms, which distinguishes instances with one id; null if not reported. */
  readonly bornAt: number | null;
  /** Models that it has loaded. */
  readonly models: readonly ModelName[];
  /** Models whose weights are on its host. */
  readonly stagedModels: readonly ModelName[];
  readonly group: GroupMembership | null;
}
