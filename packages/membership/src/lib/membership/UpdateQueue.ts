import type { EntryId } from '@dandelionlane/core';

/** Entries whose updates still have to be piggybacked, each a bounded number of times. */
export default class UpdateQueue {
  readonly #sent = new Map<EntryId, number>();

  /** Starts the retransmissions for an entry afresh. */
  add(entry: EntryId): void {
    this.#sent.set(entry, 0);
  }

  /** Takes up to `count` entries, least sent first, and drops those sent `limit` times. */
  take(count: number, limit: number): readonly EntryId[] {
    if (this.#sent.size === 0) {
      return [];
    }
    const taken = [...this.#sent]
      .sort(([, left], [, right]) => left - right)
      .slice(0, count)
      .map(([entry]) => entry);
    taken.forEach((entry) => this.#markSent(entry, limit));
    return taken;
  }

  #markSent(entry: EntryId, limit: number): void {
    const sent = (this.#sent.get(entry) ?? 0) + 1;
    if (sent >= limit) {
      this.#sent.delete(entry);
    } else {
      this.#sent.set(entry, sent);
    }
  }
}
