import type { Clock } from '@dandelionlane/core';
import {
  measureCapacity, measureTraffic, type AdmissionQueue, type PromptQuarantine, type RetryBudget,
  type TargetPaths, type TargetStates, type TrafficMeter,
} from '@dandelionlane/gateway';
import type { EntryStatus } from '@dandelionlane/links';
import type FleetEntrySettings from './FleetEntrySettings.js';
import type FleetView from './FleetView.js';
import MAXIMUM_REPORTED_MILLISECONDS from './MAXIMUM_REPORTED_MILLISECONDS.js';

/** Decimal places of a reported slowdown. */
const SLOWDOWN_DIGITS = 2;

/** Inputs of `createEntryStatus`. */
interface StatusSources {
  readonly settings: FleetEntrySettings;
  readonly states: TargetStates;
  readonly paths: TargetPaths;
  readonly quarantine: PromptQuarantine;
  readonly budget: RetryBudget;
  readonly admissionQueue: AdmissionQueue;
  readonly trafficMeter: TrafficMeter;
  readonly view: FleetView;
  readonly isReady: () => boolean;
  readonly clock: Clock;
}

/**
 * Creates the status of this entry for the holder of the lease. Marks the load of each target as
 * reported.
 *
 * @param storeAgeMilliseconds time since the store last answered this process
 */
export default function createEntryStatus(
  {
    settings, states, paths, quarantine, budget,
    admissionQueue, trafficMeter, view: { workers }, isReady, clock,
  }: StatusSources,
  storeAgeMilliseconds: number,
): EntryStatus {
  const now = clock.monotonicMilliseconds();
  const targets = [...states.entries()].filter(([, { streams }]) => streams.size > 0)
    .map(([worker, state]) => {
      state.recordStatusSent();
      const streams = [...state.streams];
      const started = streams.filter(({ lastEventAt, paused }) => lastEventAt !== null && !paused);
      const formation = streams[0]?.formation ?? '';
      const { ownSlowdown } = state;
      return {
        worker,
        formation,
        outstanding: state.outstanding,
        started: started.length,
        unreadTokens: state.unreadTokens,
        // Capped, as the silence is infinite before the first event.
        silentMilliseconds: Math.round(Math.min(now - state.lastProgressAt, MAXIMUM_REPORTED_MILLISECONDS)),
        doubted: state.isDoubted(formation),
        ...(ownSlowdown === null ? {} : { slowdown: Number(ownSlowdown.toFixed(SLOWDOWN_DIGITS)) }),
      };
    });
  const traffic = trafficMeter.models.map((model) => (
    { model, urgent: null, ...measureTraffic({ trafficMeter, admissionQueue }, model) }
  ));
  return {
    kind: 'status',
    entry: settings.entry,
    ready: isReady(),
    callerAddress: `${settings.callers.host}:${settings.callers.port}`,
    forwardAddress: `${settings.links.host}:${settings.links.port}`,
    processorCores: settings.processorCores,
    capacity: measureCapacity(settings),
    storeAgeMilliseconds: Math.round(Math.min(storeAgeMilliseconds, MAXIMUM_REPORTED_MILLISECONDS)),
    unreachable: [...paths.lostServices],
    absent: [...states.entries()].flatMap(([id, { observedAbsence }]) => {
      const service = workers.get(id)?.worker.service;
      const isInDoubt = service !== undefined && paths.isInDoubt(service);
      return observedAbsence === null || isInDoubt ? [] : [{ id, ...observedAbsence }];
    }),
    promptParts: [...quarantine.takeChanges()],
    trialsSought: [...quarantine.trialsSought()],
    limits: [...states.limitsToTell()],
    leaving: [...workers.announcedLeaving()],
    requests: [...budget.countRequests()],
    waiting: traffic.map(({ model, onTimeWaiting, lateWaiting }) => (
      { model, requests: onTimeWaiting + lateWaiting, priority: trafficMeter.mostUrgentPriority(model) }
    )),
    traffic,
    targets,
  };
}
