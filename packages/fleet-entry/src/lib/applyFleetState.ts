import { toUnregisteredWorker } from '@dandelionlane/fleet';
import type {
  PromptQuarantine, RetryBudget, SharedTraffic, TargetStates,
} from '@dandelionlane/gateway';
import type { FleetState } from '@dandelionlane/links';
import type FleetEntrySettings from './FleetEntrySettings.js';
import type FleetView from './FleetView.js';

/** Time for which a formation is avoided after it was last reported as stalled, in ms. */
const SUSPICION_MILLISECONDS = 500;

/** Local state that the holder's state is applied to. */
interface LocalState {
  readonly settings: Pick<FleetEntrySettings, 'entry'>;
  readonly states: TargetStates;
  readonly quarantine: PromptQuarantine;
  readonly budget: RetryBudget;
  readonly sharedTraffic: SharedTraffic;
  readonly view: FleetView;
}

/** Applies what the holder has collected from all entries, and the trials that it grants. */
export default function applyFleetState(
  {
    loads, requests, traffic, trials, absent, progressing, stalled, groups,
  }: FleetState,
  {
    settings, states, quarantine, budget, sharedTraffic, view: { workers },
  }: LocalState,
): void {
  requests.forEach(({ service, requests: count }) => budget.recordSharedRequests(service, count));
  groups.forEach(({
    worker, group, model, ...location
  }) => {
    workers.updateGroup(worker, group, model);
    workers.putUnregistered(toUnregisteredWorker({ id: worker, ...location }), group, model);
  });
  quarantine.grantTrials(trials.filter(({ entry }) => entry === settings.entry).map(({ part }) => part));
  states.recordSharedLoads(loads);
  sharedTraffic.record(new Map(traffic.map(({ model, ...streams }) => [model, streams])));
  states.recordSharedProgress(progressing);
  absent.forEach(({ id, ...instance }) => states.of(id).avoidAbsent(instance));
  stalled.forEach(({ worker, formation }) => {
    const target = states.of(worker);
    target.suspect(formation, SUSPICION_MILLISECONDS);
    [...target.streams].filter((stream) => stream.formation === formation)
      .forEach((stream) => stream.stalled());
  });
}
