import type { Replica } from '@dandelionlane/core';
import type NotWholeReason from './NotWholeReason.js';
import type ReceivedReport from './ReceivedReport.js';

/** Why a member does not count as present on its replica, or null if it does. */
export default function findPresenceFault(
  replica: Replica,
  sighting: ReceivedReport | undefined,
  monotonicMilliseconds: number,
  freshnessMilliseconds: number,
): NotWholeReason | null {
  if (sighting === undefined) {
    return 'member-unseen';
  }
  if (monotonicMilliseconds - sighting.receivedAtMilliseconds >= freshnessMilliseconds) {
    return 'member-stale';
  }
  if (sighting.report.replica !== replica.replica) {
    return 'member-other-replica';
  }
  return null;
}
