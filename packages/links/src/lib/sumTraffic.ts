import type { ModelName } from '@dandelionlane/core';
import type EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';

type Traffic = FleetState['traffic'][number];

/** The most urgent streams of both; null where one of them has streams but does not tell how urgent. */
function mergeUrgent(left: Traffic, right: Traffic): Traffic['urgent'] {
  if (left.onTimeWaiting === 0 || right.onTimeWaiting === 0) {
    return left.onTimeWaiting === 0 ? right.urgent : left.urgent;
  }
  if (left.urgent === null || right.urgent === null) {
    return null;
  }
  if (left.urgent.priority === right.urgent.priority) {
    const { priority } = left.urgent;
    return { priority, onTimeWaiting: left.urgent.onTimeWaiting + right.urgent.onTimeWaiting };
  }
  return left.urgent.priority < right.urgent.priority ? left.urgent : right.urgent;
}

/** Streams of all entries, by model. */
export default function sumTraffic(
  statuses: readonly Pick<EntryStatus, 'traffic'>[],
): FleetState['traffic'] {
  const sums = new Map<ModelName, Traffic>();
  statuses.forEach(({ traffic }) => traffic.forEach((own) => {
    const sum = sums.get(own.model);
    sums.set(own.model, sum === undefined ? own : {
      model: own.model,
      onTimeWaiting: sum.onTimeWaiting + own.onTimeWaiting,
      lateWaiting: sum.lateWaiting + own.lateWaiting,
      lateRunning: sum.lateRunning + own.lateRunning,
      arrivalsPerSecond: sum.arrivalsPerSecond + own.arrivalsPerSecond,
      urgent: mergeUrgent(sum, own),
    });
  }));
  return [...sums.values()];
}
