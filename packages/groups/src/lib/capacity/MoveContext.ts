import type { AvailabilityZoneId } from '@dandelionlane/core';
import type FleetObservation from '../observation/FleetObservation.js';
import type DomainSizes from '../plan/DomainSizes.js';
import type FreeWorkerPool from '../plan/FreeWorkerPool.js';
import type GroupRecord from '../plan/GroupRecord.js';
import type CapacityMove from './CapacityMove.js';

/** Input of the next step of a move. */
export default interface MoveContext {
  readonly move: CapacityMove;
  /** Time since its phase began, in ms. */
  readonly phaseMilliseconds: number;
  /** Records of the service. */
  readonly records: readonly GroupRecord[];
  readonly observation: FleetObservation;
  readonly pool: FreeWorkerPool;
  readonly domainSizes: DomainSizes;
  /** Zones that are out of service. */
  readonly closedZones: ReadonlySet<AvailabilityZoneId>;
  /** Whether records can be written and the lease is confirmed. */
  readonly canWrite: boolean;
  /** Whether the donor can do without the groups and may still give them. */
  readonly hasRoom: boolean;
  /** Whether the receiver is still short. */
  readonly isShort: boolean;
}
