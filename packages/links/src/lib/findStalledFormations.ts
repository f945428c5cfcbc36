import type { WorkerId } from '@dandelionlane/core';
import type EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';

/** Age from which a status says nothing of the present, in ms. */
const STATUS_AGE_MILLISECONDS = 400;

/** A status with the time since it came. */
interface AgedStatus {
  readonly status: EntryStatus;
  readonly ageMilliseconds: number;
}

/** What all entries see of one formation. */
interface SeenFormation {
  readonly worker: WorkerId;
  readonly formation: string;
  silence: number;
  unreadTokens: number;
}

/**
 * Formations that run streams and have brought no event to any entry for longer than usual.
 * @param quietLimit Longest usual silence of a target with so many unread tokens, in ms.
 */
export default function findStalledFormations(
  statuses: readonly AgedStatus[],
  quietLimit: (worker: WorkerId, unreadTokens: number) => number,
): FleetState['stalled'] {
  const seen = new Map<string, SeenFormation>();
  statuses.filter(({ ageMilliseconds }) => ageMilliseconds < STATUS_AGE_MILLISECONDS)
    .forEach(({ status, ageMilliseconds }) => status.targets.forEach((target) => {
      const { worker, formation, unreadTokens } = target;
      const key = `${worker} ${formation}`;
      const known = seen.get(key) ?? {
        worker, formation, silence: Number.POSITIVE_INFINITY, unreadTokens: 0,
      };
      // A status that is some ms old may miss an event since: its age does not count as silence.
      const silence = target.started === 0
        ? Number.POSITIVE_INFINITY : Math.max(0, target.silentMilliseconds - ageMilliseconds);
      known.silence = Math.min(known.silence, silence);
      known.unreadTokens += unreadTokens;
      seen.set(key, known);
    }));
  return [...seen.values()]
    .filter(({ silence }) => Number.isFinite(silence))
    .filter(({ worker, silence, unreadTokens }) => silence >= quietLimit(worker, unreadTokens))
    .map(({ worker, formation }) => ({ worker, formation }));
}
