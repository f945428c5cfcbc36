import type { ModelName } from '@dandelionlane/core';
import type EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';

/** Streams of all entries, by model. */
export default function sumTraffic(
  statuses: readonly Pick<EntryStatus, 'traffic'>[],
): FleetState['traffic'] {
  const sums = new Map<ModelName, FleetState['traffic'][number]>();
  statuses.forEach(({ traffic }) => traffic.forEach((own) => {
    const sum = sums.get(own.model);
    sums.set(own.model, sum === undefined ? own : {
      model: own.model,
      onTimeWaiting: sum.onTimeWaiting + own.onTimeWaiting,
      lateWaiting: sum.lateWaiting + own.lateWaiting,
      lateRunning: sum.lateRunning + own.lateRunning,
      arrivalsPerSecond: sum.arrivalsPerSecond + own.arrivalsPerSecond,
    });
  }));
  return [...sums.values()];
}
