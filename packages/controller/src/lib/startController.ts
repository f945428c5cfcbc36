import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';
import { SERVER_OPTIONS, SystemClock, repeatWork } from '@dandelionlane/core';
import { DEFAULT_PLACEMENT_LIMITS } from '@dandelionlane/placement';
import { HTTPTableStore, LeaseKeeper, ORDER_TIMEOUT_MILLISECONDS } from '@dandelionlane/platform';
import { createLog, createMetrics, logRoundFailure } from '@dandelionlane/telemetry';
import LiveEntries from './grants/LiveEntries.js';
import RegionController from './RegionController.js';
import type RunningController from './RunningController.js';
import type ControllerSettings from './settings/ControllerSettings.js';

const CONNECTIONS_PER_ORIGIN = 4;
const RENEWALS_PER_TERM = 4;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

/** A controller is ready while it reaches the table service, which it needs to acquire the lease. */
function healthStatus(path: string | undefined, storeReachable: boolean): number {
  switch (path) {
    case '/healthz':
      return STATUS_OK;
    case '/readyz':
      return storeReachable ? STATUS_OK : STATUS_UNAVAILABLE;
    default:
      return STATUS_NOT_FOUND;
  }
}

/** Starts a controller. `stop` releases its lease, so that another controller can take over at once. */
export default async function startController(settings: ControllerSettings): Promise<RunningController> {
  const clock = new SystemClock();
  const log = createLog('placement', settings.log, clock);
  const metrics = createMetrics(settings.metrics, [`controller:${settings.controller}`]);
  const dispatcher = new Agent({ connections: CONNECTIONS_PER_ORIGIN });
  const store = new HTTPTableStore(settings.platformAddress, dispatcher);
  const { timing } = settings;
  const lease = new LeaseKeeper({
    store,
    clock,
    controller: settings.controller,
    region: settings.region,
    settings: {
      termMilliseconds: timing.leaseTermMilliseconds,
      safetyMarginMilliseconds: timing.leaseSafetyMarginMilliseconds,
    },
  });
  const controller = new RegionController({
    region: settings.region,
    limits: {
      ...DEFAULT_PLACEMENT_LIMITS,
      orderExpiryMilliseconds: timing.leaseTermMilliseconds + ORDER_TIMEOUT_MILLISECONDS,
    },
    platformAddress: settings.platformAddress,
    store,
    dispatcher,
    clock,
    lease,
    liveEntries: new LiveEntries(dispatcher, settings.entry.administrationAddress, settings.entry.tokenFile),
    log,
    metrics,
  });
  const onFailure = logRoundFailure(log);
  const stopRenewals = repeatWork(
    () => lease.step(),
    timing.leaseTermMilliseconds / RENEWALS_PER_TERM,
    onFailure,
  );
  const stopRounds = repeatWork(() => controller.step(), timing.planPeriodMilliseconds, onFailure);
  const health = createServer(SERVER_OPTIONS, (request, response) => {
    response.writeHead(healthStatus(request.url, lease.isStoreReachable()), { 'content-type': 'application/json' });
    response.end(JSON.stringify({
      controller: settings.controller,
      holdsLease: lease.held() !== null,
      storeReachable: lease.isStoreReachable(),
    }));
  });
  await new Promise<void>((resolve, reject) => {
    health.once('error', reject);
    health.listen(settings.health.port, settings.health.host, () => resolve());
  });
  return {
    healthAddress: `${settings.health.host}:${(health.address() as AddressInfo).port}`,
    holdsLease: () => lease.held() !== null,
    async stop() {
      await stopRounds();
      await stopRenewals();
      await lease.release();
      health.closeAllConnections();
      await new Promise((resolve) => {
        health.close(resolve);
      });
      await dispatcher.destroy();
      await metrics.close();
    },
  };
}
