import type { VMId } from '@dandelionlane/core';
import type VMSighting from './VMSighting.js';

/** The sighting of a VM. Linear, since a replica has few members. */
export default function findSighting(
  sightings: readonly VMSighting[],
  vm: VMId,
): VMSighting | undefined {
  return sightings.find((sighting) => sighting.report.vm === vm);
}
