import { toUnregisteredWorker } from '@dandelionlane/fleet';
import type { RepeatBudget, TargetStates } from '@dandelionlane/gateway';
import type { FleetState } from '@dandelionlane/links';
import type FleetView from './FleetView.js';

/** Time for which a formation that stands still is left out after it was last told, in ms. */
const SUSPICION_MILLISECONDS = 500;

/** What the holder's state is written to. */
interface SharedTargets {
  readonly states: TargetStates;
  readonly budget: RepeatBudget;
  readonly view: FleetView;
}

/** Takes over what the holder of the lease has summed up for all entries. */
export default function applyShared(
  {
    loads, requests, stalled, groups,
  }: FleetState,
  { states, budget, view: { workers } }: SharedTargets,
): void {
  requests.forEach(({ service, requests: count }) => budget.requestsShared(service, count));
  groups.forEach(({
    worker, group, model, ...place
  }) => {
    workers.updateGroup(worker, group, model);
    workers.putUnregistered(toUnregisteredWorker({ id: worker, ...place }), group, model);
  });
  loads.forEach(({ worker, outstanding, unreadTokens }) => {
    states.of(worker).loadShared(outstanding, unreadTokens);
  });
  stalled.forEach(({ worker, formation }) => {
    const target = states.of(worker);
    target.suspect(formation, SUSPICION_MILLISECONDS);
    [...target.streams].filter((stream) => stream.formation === formation)
      .forEach((stream) => stream.stalled());
  });
}
