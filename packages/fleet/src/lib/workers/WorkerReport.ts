import type { FabricDomainId, ModelName } from '@dandelionlane/core';
import type GroupMembership from './GroupMembership.js';

/** State that a worker reports when probed. Load figures are a few hundred ms old. */
export default interface WorkerReport {
  readonly bornAt: number | null;
  /** Whether it is carrying out an order. */
  readonly busy: boolean;
  /** Number of orders that this instance has accepted; the precondition of the next order. */
  readonly orderSequence: number;
  readonly waitingRequests: number;
  readonly runningRequests: number;
  /** Factor by which its work takes longer than usual. */
  readonly slowdown: number;
  readonly domain: FabricDomainId | null;
  /** Models that it has loaded. */
  readonly models: readonly ModelName[];
  readonly stagedModels: readonly ModelName[];
  readonly group: GroupMembership | null;
  /** Whether it is leaving. */
  readonly leaving: boolean;
}
