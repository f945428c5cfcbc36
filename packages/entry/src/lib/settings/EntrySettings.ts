import { z } from 'zod';
import {
  AvailabilityZoneId, EntryId, ListenAddress, RegionId,
} from '@dandelionlane/core';
import { LogSettings, MetricsSettings } from '@dandelionlane/telemetry';

const MEBIBYTE = 1_024 * 1_024;

/** Settings of `dandelionlane-entry`. Durations are in milliseconds, sizes in bytes. */
const EntrySettings = z.strictObject({
  entry: EntryId,
  region: RegionId,
  availabilityZone: AvailabilityZoneId,
  callers: ListenAddress,
  peers: ListenAddress,
  administration: ListenAddress.extend({ tokenFile: z.string().min(1) }),
  /** `host:port` of the platform's services. */
  platformAddress: z.string().min(3),
  /** Peer addresses, as `host:port`, to join the group of entries through. One reachable peer is enough. */
  seeds: z.array(z.string().min(3)).max(64).default([]),
  log: LogSettings.prefault({}),
  metrics: MetricsSettings.prefault({}),
  limits: z.strictObject({
    maximumBodyBytes: z.number().int().min(1).max(256 * MEBIBYTE)
      .default(4 * MEBIBYTE),
    maximumAnswerBytes: z.number().int().min(1).max(256 * MEBIBYTE)
      .default(16 * MEBIBYTE),
    maximumHeaderBytes: z.number().int().min(1_024).max(MEBIBYTE)
      .default(16 * 1_024),
    /** Timeout for receiving the whole header and body of a request. */
    receiveTimeoutMilliseconds: z.number().int().min(100).max(600_000)
      .default(15_000),
    /** Timeout for a caller that does not read its answer. */
    slowCallerTimeoutMilliseconds: z.number().int().min(100).max(600_000)
      .default(30_000),
  }).prefault({}),
  timing: z.strictObject({
    /** Period of membership probes. */
    probePeriodMilliseconds: z.number().int().min(50).max(60_000)
      .default(500),
    /** Period of reads of the release head and the placement rows. */
    pollPeriodMilliseconds: z.number().int().min(50).max(60_000)
      .default(1_000),
    /** Period of polls for VM reports. */
    reportPeriodMilliseconds: z.number().int().min(50).max(60_000)
      .default(1_000),
    /** A VM is considered lost after this long without a report. */
    freshnessMilliseconds: z.number().int().min(100).max(60_000)
      .default(2_500),
    /** How long callers may cache the list of entries to use. */
    keepMilliseconds: z.number().int().min(1_000).max(600_000)
      .default(10_000),
    /** After SIGTERM, how long requests of callers with a cached list of entries are still served. */
    lameDuckMilliseconds: z.number().int().min(0).max(600_000)
      .default(10_000),
  }).prefault({}),
});
type EntrySettings = z.infer<typeof EntrySettings>;

export default EntrySettings;
