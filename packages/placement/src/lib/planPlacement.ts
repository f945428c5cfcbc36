import createServiceViews from './createServiceViews.js';
import DEFAULT_PLACEMENT_LIMITS from './DEFAULT_PLACEMENT_LIMITS.js';
import FleetSnapshot from './FleetSnapshot.js';
import FreePool from './FreePool.js';
import LoadBudget from './LoadBudget.js';
import planAbandons from './planAbandons.js';
import planAdditions from './planAdditions.js';
import type PlanContext from './PlanContext.js';
import planDefragmentation from './planDefragmentation.js';
import planDrains from './planDrains.js';
import PlanDraft from './PlanDraft.js';
import type PlacementCommand from './PlacementCommand.js';
import type PlacementInput from './PlacementInput.js';
import type PlacementLimits from './PlacementLimits.js';
import planMoves from './planMoves.js';
import planPreemptions from './planPreemptions.js';
import planRemovals from './planRemovals.js';
import planServes from './planServes.js';
import planStops from './planStops.js';
import planUnloads from './planUnloads.js';
import type ServiceView from './ServiceView.js';

function listGroupSizes(services: readonly ServiceView[]): readonly number[] {
  return [...new Set(services.map(({ definition }) => definition?.vmsPerReplica ?? 1))];
}

function createContext(input: PlacementInput, limits: PlacementLimits): PlanContext {
  const fleet = new FleetSnapshot(input, limits);
  const services = createServiceViews(input, fleet);
  return {
    fleet,
    services,
    pool: new FreePool(input.vms, fleet),
    budget: new LoadBudget(services, fleet),
    draft: new PlanDraft(),
    groupSizes: listGroupSizes(services),
  };
}

/**
 * Plans the next steps toward the state that the release requires. Pure: the same input gives
 * the same commands, regardless of the order of its arrays.
 */
export default function planPlacement(
  input: PlacementInput,
  limits: PlacementLimits = DEFAULT_PLACEMENT_LIMITS,
): readonly PlacementCommand[] {
  const context = createContext(input, limits);
  planRemovals(context);
  planServes(context);
  const deficits = planAdditions(context);
  planDefragmentation(deficits, context);
  planMoves(deficits, context);
  planDrains(deficits, context);
  planAbandons(deficits, context);
  planPreemptions(deficits, context);
  planStops(deficits, context);
  planUnloads(input, context);
  return context.draft.commands;
}
