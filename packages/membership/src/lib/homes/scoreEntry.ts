import { type EntryRecord, hashText } from '@dandelionlane/core';

/** Weight of an entry for a key in rendezvous hashing. */
export default function scoreEntry(key: string, { entry }: EntryRecord): number {
  return hashText(`${key}/${entry}`);
}
