import type { FabricDomainId } from '@dandelionlane/core';
import type GroupRecord from '../plan/GroupRecord.js';

/** Groups of one domain that are dissolved together so that a group of another model fits. */
export default interface DonorChoice {
  readonly domain: FabricDomainId | null;
  readonly records: readonly GroupRecord[];
}
