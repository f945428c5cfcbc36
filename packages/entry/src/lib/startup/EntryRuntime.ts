import type { Agent } from 'undici';
import type { Clock, RandomSource, TableStore } from '@dandelionlane/core';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type EntrySettings from '../settings/EntrySettings.js';

/** Infrastructure shared by the components of an entry. */
export default interface EntryRuntime {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly store: TableStore;
  /** Connections to targets and, for forwarded requests, to other entries. */
  readonly targetAgent: Agent;
  /** Connections for polling VM reports. */
  readonly reportAgent: Agent;
  /** Closes every connection. */
  close(): Promise<void>;
}
