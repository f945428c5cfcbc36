import type { VMId } from '@dandelionlane/core';
import type ReceivedReport from './ReceivedReport.js';

/** The sighting of a VM. Linear, since a replica has few members. */
export default function findReceivedReport(
  sightings: readonly ReceivedReport[],
  vm: VMId,
): ReceivedReport | undefined {
  return sightings.find((sighting) => sighting.report.vm === vm);
}
