import type { VMId } from '@dandelionlane/core';
import type ReceivedReport from './ReceivedReport.js';

/** Finds the received report of a VM. A linear search suffices, since a replica has few members. */
export default function findReceivedReport(
  receivedReports: readonly ReceivedReport[],
  vm: VMId,
): ReceivedReport | undefined {
  return receivedReports.find((received) => received.report.vm === vm);
}
