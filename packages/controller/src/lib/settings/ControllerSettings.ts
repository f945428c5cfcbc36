import { z } from 'zod';
import {
  AvailabilityZoneId, ControllerId, ListenAddress, RegionId,
} from '@dandelionlane/core';
import { LogSettings, MetricsSettings } from '@dandelionlane/telemetry';

/** Settings of `dandelionlane-controller`. Durations are in milliseconds. */
const ControllerSettings = z.strictObject({
  controller: ControllerId,
  region: RegionId,
  availabilityZone: AvailabilityZoneId,
  /** Listener of `/healthz` and `/readyz`. */
  health: ListenAddress,
  /** `host:port` of the platform's services. */
  platformAddress: z.string().min(3),
  /** Administration listener of the entry beside this controller, which provides the live entries. */
  entry: z.strictObject({
    administrationAddress: z.string().min(3),
    tokenFile: z.string().min(1),
  }),
  log: LogSettings.prefault({}),
  metrics: MetricsSettings.prefault({}),
  timing: z.strictObject({
    /** Period of planning rounds while the lease is held. */
    planPeriodMilliseconds: z.number().int().min(50).max(60_000)
      .default(1_000),
    leaseTermMilliseconds: z.number().int().min(1_000).max(600_000)
      .default(6_000),
    /** The holder stops acting this long before its term ends; at least the longest delivery of an order. */
    leaseSafetyMarginMilliseconds: z.number().int().min(100).max(60_000)
      .default(2_000),
  }).prefault({}).refine(
    (timing) => timing.leaseSafetyMarginMilliseconds * 2 <= timing.leaseTermMilliseconds,
    { error: 'leaseSafetyMarginMilliseconds must be at most half of leaseTermMilliseconds' },
  ),
});
type ControllerSettings = z.infer<typeof ControllerSettings>;

export default ControllerSettings;
