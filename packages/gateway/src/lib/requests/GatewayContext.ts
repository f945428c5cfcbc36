import type {
  AvailabilityZoneId, Clock, RandomSource,
} from '@dandelionlane/core';
import type { ConfigurationHolder, WorkerTable } from '@dandelionlane/fleet';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type SharedTraffic from '../choice/SharedTraffic.js';
import type TrafficMeter from '../choice/TrafficMeter.js';
import type ModelTimings from '../choice/ModelTimings.js';
import type RetryBudget from '../choice/RetryBudget.js';
import type CrashReporter from '../quarantine/CrashReporter.js';
import type PromptQuarantine from '../quarantine/PromptQuarantine.js';
import type PeerEntry from '../peers/PeerEntry.js';
import type TargetPaths from '../paths/TargetPaths.js';
import type AnswerMemory from '../relay/AnswerMemory.js';
import type ServingCheck from '../targets/ServingCheck.js';
import type TargetConnections from '../targets/TargetConnections.js';
import type TargetStates from '../targets/TargetStates.js';
import type GatewayWire from '../wire/GatewayWire.js';
import type SpentTimeEstimator from './SpentTimeEstimator.js';
import type AdmissionQueue from './AdmissionQueue.js';

/** Dependencies and state that all requests share. */
export default interface GatewayContext {
  readonly wire: GatewayWire;
  readonly zone: AvailabilityZoneId;
  readonly configuration: ConfigurationHolder;
  readonly workers: WorkerTable;
  readonly states: TargetStates;
  readonly quarantine: PromptQuarantine;
  readonly crashReporter: CrashReporter;
  readonly connections: TargetConnections;
  readonly servingCheck: ServingCheck;
  readonly answerMemory: AnswerMemory;
  readonly paths: TargetPaths;
  /** The other live entries. */
  readonly peers: () => readonly PeerEntry[];
  /** States of the other entries as places to pass requests on to. */
  readonly peerStates: TargetStates;
  readonly budget: RetryBudget;
  readonly timings: ModelTimings;
  readonly spentTimeEstimator: SpentTimeEstimator;
  readonly admissionQueue: AdmissionQueue;
  readonly trafficMeter: TrafficMeter;
  readonly sharedTraffic: SharedTraffic;
  /** Zones that are out of service now. */
  readonly closedZones: () => ReadonlySet<AvailabilityZoneId>;
  /** Number of live entries, including this one. */
  readonly countEntries: () => number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly metrics: Metrics;
}
