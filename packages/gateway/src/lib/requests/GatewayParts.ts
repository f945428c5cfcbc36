import type {
  AvailabilityZoneId, Clock, RandomSource,
} from '@dandelionlane/core';
import type { ConfigurationHolder, WorkerTable } from '@dandelionlane/fleet';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type ModelTimings from '../choice/ModelTimings.js';
import type RepeatBudget from '../choice/RepeatBudget.js';
import type TargetConnections from '../targets/TargetConnections.js';
import type TargetStates from '../targets/TargetStates.js';
import type GatewayWire from '../wire/GatewayWire.js';
import type CallerPatience from './CallerPatience.js';
import type WaitingRoom from './WaitingRoom.js';

/** What all requests share. */
export default interface GatewayParts {
  readonly wire: GatewayWire;
  readonly zone: AvailabilityZoneId;
  readonly configuration: ConfigurationHolder;
  readonly workers: WorkerTable;
  readonly states: TargetStates;
  readonly connections: TargetConnections;
  readonly budget: RepeatBudget;
  readonly timings: ModelTimings;
  readonly patience: CallerPatience;
  readonly waitingRoom: WaitingRoom;
  /** Zones that are out of service now. */
  readonly closedZones: () => ReadonlySet<AvailabilityZoneId>;
  /** Live entries, this one included. */
  readonly countEntries: () => number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly metrics: Metrics;
}
