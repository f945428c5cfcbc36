import type { FabricDomainId, ModelName } from '@dandelionlane/core';
import type GroupMembership from './GroupMembership.js';

/** Answer of a worker to a question for its state. Load figures are some hundred ms old. */
export default interface WorkerReport {
  readonly bornAt: number | null;
  /** Whether an order is being carried out. */
  readonly busy: boolean;
  /** Orders accepted in this life; the precondition of the next one. */
  readonly orderSequence: number;
  readonly waitingRequests: number;
  readonly runningRequests: number;
  /** How many times longer than usual its work takes. */
  readonly slowdown: number;
  readonly domain: FabricDomainId | null;
  /** Models that it has loaded. */
  readonly models: readonly ModelName[];
  readonly stagedModels: readonly ModelName[];
  readonly group: GroupMembership | null;
  /** Whether it says that it leaves. */
  readonly leaving: boolean;
}
