import type { EntryId } from '@dandelionlane/core';

/** Entries whose updates remain to be piggybacked, each a bounded number of times. */
export default class UpdateQueue {
  readonly #transmissions = new Map<EntryId, number>();

  /** Queues an entry, or resets its count of transmissions. */
  add(entry: EntryId): void {
    this.#transmissions.set(entry, 0);
  }

  /** Takes up to `count` entries, least transmitted first; removes those transmitted `limit` times. */
  take(count: number, limit: number): readonly EntryId[] {
    if (this.#transmissions.size === 0) {
      return [];
    }
    const taken = [...this.#transmissions]
      .sort(([, left], [, right]) => left - right)
      .slice(0, count)
      .map(([entry]) => entry);
    taken.forEach((entry) => this.#markSent(entry, limit));
    return taken;
  }

  #markSent(entry: EntryId, limit: number): void {
    const sent = (this.#transmissions.get(entry) ?? 0) + 1;
    if (sent >= limit) {
      this.#transmissions.delete(entry);
    } else {
      this.#transmissions.set(entry, sent);
    }
  }
}
