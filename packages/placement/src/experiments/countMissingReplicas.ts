import type FakeFleet from '../test/FakeFleet.js';
import servingCapacity from './servingCapacity.js';

/** Number of wanted replicas that do not serve with all of their members. */
export default function countMissingReplicas(fleet: FakeFleet): number {
  let down = 0;
  for (const { wanted, whole } of servingCapacity(fleet).values()) down += Math.max(0, wanted - whole);
  return down;
}
