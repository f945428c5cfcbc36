import type { Dispatcher } from 'undici';
import type { Clock, VMRecord } from '@dandelionlane/core';
import { readVMReport } from '@dandelionlane/platform';
import type FleetView from './FleetView.js';

/** Asks VMs for their reports, all at one time, and tells the view how each answered. */
export default async function askFleet(
  fleet: FleetView,
  records: readonly VMRecord[],
  dispatcher: Dispatcher,
  clock: Clock,
): Promise<void> {
  await Promise.all(records.map(async ({ vm, address }) => {
    const askedAt = clock.monotonicMilliseconds();
    const report = await readVMReport(dispatcher, vm, address);
    fleet.hear(vm, report.unwrapOr(null), askedAt);
  }));
}
