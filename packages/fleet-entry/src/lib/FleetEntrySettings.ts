import type {
  AvailabilityZoneId, EntryId, ListenAddress, RegionId,
} from '@dandelionlane/core';

/** Settings of an entry process. */
export default interface FleetEntrySettings {
  readonly entry: EntryId;
  readonly zone: AvailabilityZoneId;
  readonly region: RegionId;
  readonly callers: ListenAddress;
  readonly directory: ListenAddress | null;
  readonly readiness: ListenAddress | null;
  readonly metrics: ListenAddress | null;
  /** Address that other entries connect to. */
  readonly links: ListenAddress;
  /** Processor time that the process may use, in cores. */
  readonly processorCores: number;
  /** Memory that the process may use, in bytes; null where the settings do not say. */
  readonly memoryBytes: number | null;
  /** File descriptors that the process may open; null where the settings do not say. */
  readonly maximumDescriptors: number | null;
  /** Bandwidth of the machine's link, in bytes a second; null where the settings do not say. */
  readonly linkBytesPerSecond: number | null;
  /** Whether the whole system starts for the first time. */
  readonly bootstrap: boolean;
  /** Time between SIGTERM and the end of the process, in ms. */
  readonly graceMilliseconds: number;
  /** Time within which an entry has to follow a change that the store has acknowledged, in ms. */
  readonly maximumViewAgeMilliseconds: number;
  /** Budget for repeats at a service over all entries: a share of its requests, and a fixed number on top. */
  readonly repeatRatio: number;
  readonly repeatExtra: number;
  readonly repeatWindowMilliseconds: number;
  /**
   * Largest slowdown of targets that choices take into account; 1, as without it, keeps them at their
   * configured speed.
   */
  readonly maximumTargetSlowdown?: number;
}
