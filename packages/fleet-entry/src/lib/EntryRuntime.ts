import type { Clock } from '@dandelionlane/core';
import type { Log, MetricsRegistry } from '@dandelionlane/telemetry';
import type FleetEntryPorts from './FleetEntryPorts.js';
import type FleetEntrySettings from './FleetEntrySettings.js';

/** Dependencies shared by all parts of an entry process. */
export default interface EntryRuntime {
  readonly settings: FleetEntrySettings;
  readonly ports: FleetEntryPorts;
  readonly clock: Clock;
  /** Clock that also advances while the process is stopped. */
  readonly suspendAwareClock: Clock;
  readonly metrics: MetricsRegistry;
  /** Creates the log of one part of the process. */
  readonly logFor: (part: string) => Log;
}
