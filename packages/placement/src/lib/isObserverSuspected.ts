import type PlacementLimits from './PlacementLimits.js';
import type VMObservation from './VMObservation.js';

/**
 * Whether so many VMs in several availability zones are silent at once that a fault of the
 * observer's own network is more likely. Silent VMs do not count as lost then.
 */
export default function isObserverSuspected(
  vms: readonly VMObservation[],
  limits: PlacementLimits,
): boolean {
  const silentZones = new Set<string>();
  let silent = 0;
  for (const vm of vms) {
    if (vm.unreachableMilliseconds >= limits.lostMilliseconds) {
      silent += 1;
      silentZones.add(vm.record.availabilityZone);
    }
  }
  return silentZones.size > 1 && silent > vms.length * limits.suspectObserverShare;
}
