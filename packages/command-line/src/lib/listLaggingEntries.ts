import type { ReleaseSequence, StatusDocument } from '@dandelionlane/core';

/** Entries, other than dead and leaving ones, that do not have a change in force yet. */
export default function listLaggingEntries(
  { entries }: StatusDocument,
  sequence: ReleaseSequence,
): readonly string[] {
  return entries
    .filter(({ state }) => state !== 'dead' && state !== 'leaving')
    .filter(({ sequenceInForce }) => sequenceInForce < sequence)
    .map(({ entry, sequenceInForce }) => `${entry} (at ${sequenceInForce})`);
}
