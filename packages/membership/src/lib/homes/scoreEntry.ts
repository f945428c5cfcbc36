import { type EntryRecord, hashText } from '@dandelionlane/core';

const FIRST_FACTOR = 0x85ebca6b;
const SECOND_FACTOR = 0xc2b2ae35;

/** Hashes of entry identifiers, cached by record because every key needs all of them. */
const entryHashes = new WeakMap<EntryRecord, number>();

function hashEntry(entry: EntryRecord): number {
  const known = entryHashes.get(entry);
  if (known !== undefined) {
    return known;
  }
  const hash = hashText(entry.entry);
  entryHashes.set(entry, hash);
  return hash;
}

/* eslint-disable no-bitwise -- the mix is defined on 32-bit words */
/** Rendezvous score of an entry for a key with the given hash, an unsigned 32-bit integer. */
export default function scoreEntry(keyHash: number, entry: EntryRecord): number {
  let word = keyHash ^ hashEntry(entry);
  word = Math.imul(word ^ (word >>> 16), FIRST_FACTOR);
  word = Math.imul(word ^ (word >>> 13), SECOND_FACTOR);
  return (word ^ (word >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */
