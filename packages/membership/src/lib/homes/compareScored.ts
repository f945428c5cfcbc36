import type ScoredEntry from './ScoredEntry.js';

/** Compares by score, highest first, and equal scores by identifier. */
export default function compareScored(left: ScoredEntry, right: ScoredEntry): number {
  if (left.score !== right.score) {
    return right.score - left.score;
  }
  return left.entry.entry < right.entry.entry ? -1 : 1;
}
