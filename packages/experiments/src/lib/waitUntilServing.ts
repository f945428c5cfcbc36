import { setTimeout as delay } from 'node:timers/promises';
import type { RunningSystem } from '@dandelionlane/demo';
import readStatus from './readStatus.js';

const PAUSE_MILLISECONDS = 500;

/** Waits until every service has as many serving replicas as it wants. Rejects after the time. */
export default async function waitUntilServing(
  system: RunningSystem,
  timeoutMilliseconds: number,
): Promise<void> {
  const end = performance.now() + timeoutMilliseconds;
  while (performance.now() < end) {
    const { services } = await readStatus(system);
    if (services.every((service) => service.replicasServing >= service.replicasWanted)) {
      return;
    }
    await delay(PAUSE_MILLISECONDS);
  }
  throw new Error('not every replica serves in time');
}
