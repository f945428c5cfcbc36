import { createHash } from 'node:crypto';
import type { EntryId } from '@dandelionlane/core';
import type LiveEntry from './LiveEntry.js';
import measureCapacity from './measureCapacity.js';

const HASH_BYTES = 6;

/** Evenly distributed number above 0 and up to 1 for two entries; the same in every process. */
function drawEvenly(asked: EntryId, listed: EntryId): number {
  const hash = createHash('sha1').update(`${asked}\u0000${listed}`).digest().readUIntBE(0, HASH_BYTES);
  return (hash + 1) / 2 ** (8 * HASH_BYTES);
}

/** Capacity of an entry in requests a second; that of its cores where it names none, as an earlier build. */
function capacityOf({ capacity, processorCores }: LiveEntry): number {
  return capacity
    ?? measureCapacity({ processorCores: processorCores ?? 1, memoryBytes: null, linkBytesPerSecond: null });
}

/**
 * Selects the entries that an answer of the directory lists where it has not room for all, by weighted
 * rendezvous hashing: the more an entry can take, the more of the entries that are asked list it. The
 * selection stays the same as long as the entries do, and each asked entry has another one.
 */
export default function selectEntries(
  asked: EntryId,
  entries: readonly LiveEntry[],
  maximum: number,
): readonly LiveEntry[] {
  if (entries.length <= maximum) {
    return entries;
  }
  return entries
    .map((entry) => ({ entry, score: -Math.log(drawEvenly(asked, entry.entry)) / capacityOf(entry) }))
    .sort((left, right) => left.score - right.score)
    .slice(0, maximum)
    .map(({ entry }) => entry);
}
