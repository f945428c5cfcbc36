import type EntryStatus from './EntryStatus.js';
import type FleetState from './FleetState.js';

/**
 * Silence of all started streams of a formation, over all entries, from which it counts as
 * standing still, in ms. A pass of the engine brings an event to each stream; one that also reads
 * several long prompts takes about 200 ms.
 */
const STALL_SILENCE_MILLISECONDS = 260;

/** Age from which a status says nothing of the present, in ms. */
const STATUS_AGE_MILLISECONDS = 400;

/** A status with the time since it came. */
interface AgedStatus {
  readonly status: EntryStatus;
  readonly ageMilliseconds: number;
}

/** Formations that run streams and have brought no event to any entry for a while. */
export default function findStalled(statuses: readonly AgedStatus[]): FleetState['stalled'] {
  const silences = new Map<string, { readonly worker: string; readonly formation: string; silence: number }>();
  const fresh = statuses.filter(({ ageMilliseconds }) => ageMilliseconds < STATUS_AGE_MILLISECONDS);
  fresh.forEach(({ status, ageMilliseconds }) => {
    status.targets.filter(({ started }) => started > 0)
      .forEach(({ worker, formation, silentMilliseconds }) => {
        const key = `${worker} ${formation}`;
        // A status that is some ms old may miss an event since: its age does not count as silence.
        const silence = Math.max(0, silentMilliseconds - ageMilliseconds);
        const known = silences.get(key)?.silence ?? Number.POSITIVE_INFINITY;
        silences.set(key, { worker, formation, silence: Math.min(known, silence) });
      });
  });
  return [...silences.values()]
    .filter(({ silence }) => silence >= STALL_SILENCE_MILLISECONDS)
    .map(({ worker, formation }) => ({ worker, formation } as FleetState['stalled'][number]));
}
