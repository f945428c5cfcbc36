import type { ReleaseSequence, StatusDocument } from '@dandelionlane/core';

/** Entries that have to follow a change and do not have it in force yet. */
export default function listLaggingEntries(
  { entries }: StatusDocument,
  sequence: ReleaseSequence,
): readonly string[] {
  return entries
    .filter(({ state }) => state !== 'dead' && state !== 'leaving')
    .filter(({ sequenceInForce }) => sequenceInForce < sequence)
    .map(({ entry, sequenceInForce }) => `${entry} (at ${sequenceInForce})`);
}
