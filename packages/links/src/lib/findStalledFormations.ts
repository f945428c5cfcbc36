import type { WorkerId } from '@dandelionlane/core';
import type EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';

/** Age from which a status is too old to be used, in ms. */
const MAXIMUM_STATUS_AGE_MILLISECONDS = 400;

/** A status with the time since its arrival. */
interface AgedStatus {
  readonly status: EntryStatus;
  readonly ageMilliseconds: number;
}

/** What all entries observe of one formation. */
interface FormationObservation {
  readonly worker: WorkerId;
  readonly formation: string;
  silenceMilliseconds: number;
  unreadTokens: number;
}

/**
 * Formations that run streams but have delivered no event to any entry for longer than usual.
 * @param stallThreshold Longest usual silence of a target with a given number of unread tokens, in ms.
 */
export default function findStalledFormations(
  statuses: readonly AgedStatus[],
  stallThreshold: (worker: WorkerId, unreadTokens: number) => number,
): FleetState['stalled'] {
  const observations = new Map<string, FormationObservation>();
  statuses.filter(({ ageMilliseconds }) => ageMilliseconds < MAXIMUM_STATUS_AGE_MILLISECONDS)
    .forEach(({ status, ageMilliseconds }) => status.targets.forEach((target) => {
      const { worker, formation, unreadTokens } = target;
      const key = `${worker} ${formation}`;
      const observation = observations.get(key) ?? {
        worker, formation, silenceMilliseconds: Number.POSITIVE_INFINITY, unreadTokens: 0,
      };
      // An event may have arrived since the status was sent, so the age of the status is not silence.
      const silenceMilliseconds = target.started === 0
        ? Number.POSITIVE_INFINITY : Math.max(0, target.silentMilliseconds - ageMilliseconds);
      observation.silenceMilliseconds = Math.min(observation.silenceMilliseconds, silenceMilliseconds);
      observation.unreadTokens += unreadTokens;
      observations.set(key, observation);
    }));
  return [...observations.values()]
    .filter(({ silenceMilliseconds }) => Number.isFinite(silenceMilliseconds))
    .filter(({ worker, silenceMilliseconds, unreadTokens }) => (
      silenceMilliseconds >= stallThreshold(worker, unreadTokens)
    ))
    .map(({ worker, formation }) => ({ worker, formation }));
}
