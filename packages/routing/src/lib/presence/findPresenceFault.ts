import type { Replica } from '@dandelionlane/core';
import type NotWholeReason from './NotWholeReason.js';
import type ReceivedReport from './ReceivedReport.js';

/** Why a member does not count as present on its replica, or null if it does. */
export default function findPresenceFault(
  replica: Replica,
  received: ReceivedReport | undefined,
  monotonicMilliseconds: number,
  freshnessMilliseconds: number,
): NotWholeReason | null {
  if (received === undefined) {
    return 'member-unseen';
  }
  if (monotonicMilliseconds - received.receivedAtMilliseconds >= freshnessMilliseconds) {
    return 'member-stale';
  }
  if (received.report.replica !== replica.replica) {
    return 'member-other-replica';
  }
  return null;
}
