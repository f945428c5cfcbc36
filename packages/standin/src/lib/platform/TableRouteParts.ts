import type { Clock, MemoryTableStore } from '@dandelionlane/core';
import type FaultSwitch from './FaultSwitch.js';
import type PlatformCounters from './PlatformCounters.js';
import type PlatformSettings from './PlatformSettings.js';

/** What the routes of the table service work on. */
export default interface TableRouteParts {
  readonly store: MemoryTableStore;
  readonly faults: FaultSwitch;
  readonly counters: PlatformCounters;
  readonly settings: PlatformSettings;
  readonly clock: Clock;
}
