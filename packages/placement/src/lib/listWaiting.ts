import isRoomComing from './isRoomComing.js';
import type PlanContext from './PlanContext.js';
import type ServiceNeed from './ServiceNeed.js';

/** The needs that found no room, where none is about to become free. */
export default function listWaiting(
  needs: readonly ServiceNeed[],
  context: PlanContext,
): readonly ServiceNeed[] {
  const isComing = { model: isRoomComing('model', context), plain: isRoomComing('plain', context) };
  return needs.filter(({ hasNoRoom, shape }) => hasNoRoom && !isComing[shape.kind]);
}
