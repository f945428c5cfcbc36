import type EntryStatus from './EntryStatus.js';

/** Age of the last event of any stream at a target up to which it is known to be at work, in ms. */
const FRESH_MILLISECONDS = 150;

/** Formations with started streams that brought events a moment ago, by what all entries see. */
export default function findProgressingFormations(statuses: readonly EntryStatus[]): readonly string[] {
  const formations = statuses.flatMap(({ targets }) => targets
    .filter(({ started, silentMilliseconds }) => started > 0 && silentMilliseconds <= FRESH_MILLISECONDS)
    .map(({ formation }) => formation));
  return [...new Set(formations)];
}
