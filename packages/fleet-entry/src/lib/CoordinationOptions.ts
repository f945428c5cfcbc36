import type { IncomingMessage, ServerResponse } from 'node:http';
import type {
  Clock, RandomSource, StoreEra, WorkerId,
} from '@dandelionlane/core';
import type {
  AdmissionQueue, EntryRegistry, PromptQuarantine, RetryBudget, SharedTraffic, TargetPaths,
  TargetStates, TrafficMeter,
} from '@dandelionlane/gateway';
import type { Log } from '@dandelionlane/telemetry';
import type ClosedConnections from './ClosedConnections.js';
import type FleetEntrySettings from './FleetEntrySettings.js';
import type FleetView from './FleetView.js';
import type GroupControl from './GroupControl.js';
import type QuarantineStore from './QuarantineStore.js';

/** Options of a `Coordinator`, of a `FleetLeader` and of a `FleetFollower`. */
export default interface CoordinationOptions {
  readonly settings: FleetEntrySettings;
  readonly era: StoreEra;
  readonly registry: EntryRegistry;
  readonly states: TargetStates;
  readonly paths: TargetPaths;
  readonly quarantine: PromptQuarantine;
  readonly quarantineStore: QuarantineStore;
  readonly budget: RetryBudget;
  readonly admissionQueue: AdmissionQueue;
  readonly trafficMeter: TrafficMeter;
  readonly sharedTraffic: SharedTraffic;
  readonly view: FleetView;
  readonly control: GroupControl;
  readonly isReady: () => boolean;
  /** Serves a request that another entry passes on. */
  readonly serveForwarded: (incoming: IncomingMessage, outgoing: ServerResponse) => void;
  /** Longest usual silence of a model target, in ms. */
  readonly stallThreshold: (worker: WorkerId, unreadTokens: number) => number;
  /** Limit on the connections to the address for links; null for none. */
  readonly maximumLinkConnections: number | null;
  readonly closedLinks: ClosedConnections;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
}
