import formatDifference from './formatDifference.js';
import type ReleaseDifference from './ReleaseDifference.js';

/** Formats one line for each addition, changed field, withdrawal and weight, or `no differences`. */
export default function formatDifferences(differences: readonly ReleaseDifference[]): string {
  return differences.length === 0 ? 'no differences' : differences.flatMap(formatDifference).join('\n');
}
