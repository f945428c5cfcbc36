import { type EntryId, hashText } from '@dandelionlane/core';
import type MemberUpdate from '../messages/MemberUpdate.js';

const PARTS = 32;

/** Part of the view that an entry belongs to. */
function partOf(entry: EntryId): number {
  return hashText(entry) % PARTS;
}

/** Hash of a claim. Dead members count as absent, since each member forgets them at its own time. */
function hashClaim({
  entry, refutation, liveness, leaving,
}: MemberUpdate): number {
  if (liveness === 'dead') {
    return 0;
  }
  return hashText(`${entry.entry}/${entry.incarnation}/${refutation}/${liveness}/${leaving}`);
}

/* eslint-disable no-bitwise -- digests are 32-bit words joined by exclusive or */
/** Digests of the parts of a view, kept up to date claim by claim. */
export default class ViewDigest {
  readonly #parts = new Uint32Array(PARTS);

  /** Replaces what one member contributed. */
  replace(before: MemberUpdate | undefined, after: MemberUpdate | undefined): void {
    [before, after].forEach((update) => {
      if (update !== undefined) {
        const part = partOf(update.entry.entry);
        this.#parts[part] = (this.#parts[part]! ^ hashClaim(update)) >>> 0;
      }
    });
  }

  /** Digest of the whole view. */
  get combined(): number {
    return this.#parts.reduce((digest, part) => (digest ^ part) >>> 0, 0);
  }

  buckets(): number[] {
    return [...this.#parts];
  }

  /** Whether the part that an entry belongs to differs from a peer's. */
  differs(entry: EntryId, others: readonly number[]): boolean {
    const part = partOf(entry);
    return this.#parts[part] !== (others[part] ?? 0);
  }
}
/* eslint-enable no-bitwise */
