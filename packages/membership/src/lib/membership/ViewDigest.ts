import { type EntryId, hashText } from '@dandelionlane/core';
import type MemberUpdate from '../messages/MemberUpdate.js';

const BUCKETS = 32;

/** Bucket of the view that an entry belongs to. */
function bucketOf(entry: EntryId): number {
  return hashText(entry) % BUCKETS;
}

/** Hash of a claim; 0 for a dead member, because members forget the dead at different times. */
function hashClaim({
  entry, refutation, liveness, leaving,
}: MemberUpdate): number {
  if (liveness === 'dead') {
    return 0;
  }
  return hashText(`${entry.entry}/${entry.incarnation}/${refutation}/${liveness}/${leaving}`);
}

/* eslint-disable no-bitwise -- digests are 32-bit words combined by exclusive or */
/** Digests of the buckets of a view, updated incrementally with each claim. */
export default class ViewDigest {
  readonly #buckets = new Uint32Array(BUCKETS);

  /** Replaces the contribution of one member. */
  replace(before: MemberUpdate | undefined, after: MemberUpdate | undefined): void {
    [before, after].forEach((update) => {
      if (update !== undefined) {
        const bucket = bucketOf(update.entry.entry);
        this.#buckets[bucket] = (this.#buckets[bucket]! ^ hashClaim(update)) >>> 0;
      }
    });
  }

  /** Digest of the view over all buckets. */
  get combined(): number {
    return this.#buckets.reduce((digest, bucket) => (digest ^ bucket) >>> 0, 0);
  }

  buckets(): number[] {
    return [...this.#buckets];
  }

  /** Whether the bucket of an entry differs from that in the digests of a peer. */
  differs(entry: EntryId, others: readonly number[]): boolean {
    const bucket = bucketOf(entry);
    return this.#buckets[bucket] !== (others[bucket] ?? 0);
  }
}
/* eslint-enable no-bitwise */
