import isCapacityPending from './isCapacityPending.js';
import type PlanContext from './PlanContext.js';
import type ServiceDeficit from './ServiceDeficit.js';

/** The needs that found no room, where none is about to become free. */
export default function listBlocked(
  needs: readonly ServiceDeficit[],
  context: PlanContext,
): readonly ServiceDeficit[] {
  const isComing = { model: isCapacityPending('model', context), plain: isCapacityPending('plain', context) };
  return needs.filter(({ lacksCapacity: hasNoRoom, shape }) => hasNoRoom && !isComing[shape.kind]);
}
