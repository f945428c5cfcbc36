import chooseDomain from './chooseDomain.js';
import countByZone from './countByZone.js';
import countSpread from './countSpread.js';
import isStable from './isStable.js';
import type PlanContext from './PlanContext.js';
import type ServiceDeficit from './ServiceDeficit.js';
import type ServiceView from './ServiceView.js';
import shapeOf from './shapeOf.js';
import tryPlace from './tryPlace.js';

/** Difference in replicas between the fullest zone and the target below which a move gains nothing. */
const MINIMUM_GAIN = 2;

function planMove(view: ServiceView, context: PlanContext): boolean {
  const { fleet, pool, budget } = context;
  if (view.definition === null || !isStable(view, fleet.limits.settledMilliseconds)) return false;
  const shape = shapeOf(view.definition);
  const counts = countByZone(view.serving);
  const fullest = Math.max(0, ...counts.values());
  if (fullest < MINIMUM_GAIN || !budget.allows(shape.vmsPerReplica, fleet.limits.moveLoadShare)) return false;
  const spread = countSpread(view.serving);
  const domain = chooseDomain(pool, shape, spread, context.groupSizes);
  if (domain === null || fullest - spread.inZone(domain.availabilityZone) < MINIMUM_GAIN) return false;
  return tryPlace(shape, spread, 'spread', context) === 'added';
}

/**
 * Starts at most one move per plan that evens out a service over availability zones. The new
 * replica serves before the surplus one drains. No move starts while a service of the same kind
 * lacks capacity, since it might take the VMs that are being freed for that service.
 */
export default function planMoves(deficits: readonly ServiceDeficit[], context: PlanContext): void {
  const shortKinds = new Set(deficits
    .filter(({ lacksCapacity }) => lacksCapacity)
    .map(({ shape }) => shape.kind));
  for (const view of context.services) {
    const isShort = view.definition !== null && shortKinds.has(view.definition.kind);
    if (!isShort && planMove(view, context)) return;
  }
}
