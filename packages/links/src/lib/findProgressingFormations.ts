import type EntryStatus from './EntryStatus.js';

/** Age of the last event of a target up to which it counts as progressing, in ms. */
const FRESHNESS_MILLISECONDS = 150;

/** Formations with started streams that have just delivered an event to any entry. */
export default function findProgressingFormations(statuses: readonly EntryStatus[]): readonly string[] {
  const formations = statuses.flatMap(({ targets }) => targets
    .filter(({ started, silentMilliseconds }) => started > 0 && silentMilliseconds <= FRESHNESS_MILLISECONDS)
    .map(({ formation }) => formation));
  return [...new Set(formations)];
}
