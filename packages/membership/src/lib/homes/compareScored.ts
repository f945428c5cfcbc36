import type ScoredEntry from './ScoredEntry.js';

/** Orders by weight, largest first; equal weights by identifier. */
export default function compareScored(left: ScoredEntry, right: ScoredEntry): number {
  if (left.score !== right.score) {
    return right.score - left.score;
  }
  return left.entry.entry < right.entry.entry ? -1 : 1;
}
