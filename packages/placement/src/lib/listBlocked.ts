import isCapacityPending from './isCapacityPending.js';
import type PlanContext from './PlanContext.js';
import type ServiceDeficit from './ServiceDeficit.js';

/** The deficits that lack capacity while no VMs for them are about to become free. */
export default function listBlocked(
  deficits: readonly ServiceDeficit[],
  context: PlanContext,
): readonly ServiceDeficit[] {
  const isPending = { model: isCapacityPending('model', context), plain: isCapacityPending('plain', context) };
  return deficits.filter(({ lacksCapacity, shape }) => lacksCapacity && !isPending[shape.kind]);
}
