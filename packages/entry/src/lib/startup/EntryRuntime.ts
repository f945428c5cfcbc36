import type { Agent } from 'undici';
import type { Clock, RandomSource, TableStore } from '@dandelionlane/core';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type EntrySettings from '../settings/EntrySettings.js';

/** What the parts of an entry share. */
export default interface EntryRuntime {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly store: TableStore;
  /** Connections to targets and, for requests passed on, to other entries. */
  readonly targetAgent: Agent;
  /** Connections for reports of VMs. */
  readonly reportAgent: Agent;
  /** Closes every connection. */
  close(): Promise<void>;
}
