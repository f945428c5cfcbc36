import type { EntryRecord, RegionId } from '@dandelionlane/core';

/** Entries of other regions, a bounded number of each, latest heard of first. */
export default class RemoteDirectory {
  readonly #own: RegionId;

  readonly #limit: number;

  readonly #regions = new Map<RegionId, EntryRecord[]>();

  constructor(own: RegionId, limit: number) {
    this.#own = own;
    this.#limit = limit;
  }

  /** Notes an entry; one of the own region is passed over. */
  add(entry: EntryRecord): void {
    if (entry.region === this.#own) {
      return;
    }
    const known = this.#regions.get(entry.region) ?? [];
    const others = known.filter((other) => other.entry !== entry.entry);
    this.#regions.set(entry.region, [entry, ...others].slice(0, this.#limit));
  }

  /** Drops an entry that was not reached, unless it is the last one known of its region. */
  drop(entry: EntryRecord): void {
    const known = this.#regions.get(entry.region) ?? [];
    if (known.length > 1) {
      this.#regions.set(entry.region, known.filter((other) => other.entry !== entry.entry));
    }
  }

  /** Up to `count` entries of each region. */
  sample(count: number): readonly EntryRecord[] {
    return [...this.#regions.values()].flatMap((entries) => entries.slice(0, count));
  }

  hasAddress(address: string): boolean {
    return this.all().some(({ peerAddress }) => peerAddress === address);
  }

  all(): readonly EntryRecord[] {
    return [...this.#regions.values()].flat();
  }
}
