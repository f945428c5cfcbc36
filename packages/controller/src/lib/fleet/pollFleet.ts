import type { Dispatcher } from 'undici';
import type { Clock, VMRecord } from '@dandelionlane/core';
import { readVMReport } from '@dandelionlane/platform';
import type FleetTracker from './FleetTracker.js';

/** Polls the VMs for their reports concurrently and records each result. */
export default async function pollFleet(
  fleet: FleetTracker,
  records: readonly VMRecord[],
  dispatcher: Dispatcher,
  clock: Clock,
): Promise<void> {
  await Promise.all(records.map(async ({ vm, address }) => {
    const polledAt = clock.monotonicMilliseconds();
    const report = await readVMReport(dispatcher, vm, address);
    fleet.recordPoll(vm, report.unwrapOr(null), polledAt);
  }));
}
