import type { Dispatcher } from 'undici';
import type { Clock, VMRecord } from '@dandelionlane/core';
import { readVMReport } from '@dandelionlane/platform';
import type FleetTracker from './FleetTracker.js';

/** Asks VMs for their reports, all at one time, and tells the view how each answered. */
export default async function pollFleet(
  fleet: FleetTracker,
  records: readonly VMRecord[],
  dispatcher: Dispatcher,
  clock: Clock,
): Promise<void> {
  await Promise.all(records.map(async ({ vm, address }) => {
    const askedAt = clock.monotonicMilliseconds();
    const report = await readVMReport(dispatcher, vm, address);
    fleet.recordPoll(vm, report.unwrapOr(null), askedAt);
  }));
}
