import type { Clock } from '@dandelionlane/core';
import type { RetryBudget, TargetStates, AdmissionQueue } from '@dandelionlane/gateway';
import type { EntryStatus } from '@dandelionlane/links';
import type FleetEntrySettings from './FleetEntrySettings.js';
import type FleetView from './FleetView.js';

/** Longest silence that is told, in ms. */
const LONGEST_SILENCE_MILLISECONDS = 60_000;

/** What a status is read from. */
interface StatusSources {
  readonly settings: FleetEntrySettings;
  readonly states: TargetStates;
  readonly budget: RetryBudget;
  readonly waitingRoom: AdmissionQueue;
  readonly view: FleetView;
  readonly isReady: () => boolean;
  readonly clock: Clock;
}

/**
 * What this entry tells the holder of the lease. Each target's part counts as told.
 *
 * @param storeAgeMilliseconds time since the store last answered this process
 */
export default function readOwnStatus(
  {
    settings, states, budget, waitingRoom, view: { workers }, isReady, clock,
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
      return {
        worker,
        formation,
        outstanding: state.outstanding,
        started: started.length,
        unreadTokens: state.unreadTokens,
        // Before the first event the silence has no beginning.
        silentMilliseconds: Math.round(Math.min(now - state.lastProgressAt, LONGEST_SILENCE_MILLISECONDS)),
        doubted: state.isDoubted(formation),
      };
    });
  return {
    kind: 'status',
    entry: settings.entry,
    ready: isReady(),
    callerAddress: `${settings.callers.host}:${settings.callers.port}`,
    processorCores: settings.processorCores,
    storeAgeMilliseconds: Math.round(Math.min(storeAgeMilliseconds, LONGEST_SILENCE_MILLISECONDS)),
    leaving: [...workers.announcedLeaving()],
    requests: [...budget.countRequests()],
    waiting: [...waitingRoom.countByModel()].map(([model, requests]) => ({ model, requests })),
    targets,
  };
}
