import type { EntryRecord, RegionId } from '@dandelionlane/core';

/** Entries of other regions: a bounded number per region, most recently seen first. */
export default class RemoteDirectory {
  readonly #ownRegion: RegionId;

  readonly #limitPerRegion: number;

  readonly #regions = new Map<RegionId, EntryRecord[]>();

  constructor(ownRegion: RegionId, limitPerRegion: number) {
    this.#ownRegion = ownRegion;
    this.#limitPerRegion = limitPerRegion;
  }

  /** Adds an entry or moves it to the front. Entries of this region are ignored. */
  add(entry: EntryRecord): void {
    if (entry.region === this.#ownRegion) {
      return;
    }
    const known = this.#regions.get(entry.region) ?? [];
    const others = known.filter((other) => other.entry !== entry.entry);
    this.#regions.set(entry.region, [entry, ...others].slice(0, this.#limitPerRegion));
  }

  /** Drops an unreachable entry, unless it is the last known one of its region. */
  drop(entry: EntryRecord): void {
    const known = this.#regions.get(entry.region) ?? [];
    if (known.length > 1) {
      this.#regions.set(entry.region, known.filter((other) => other.entry !== entry.entry));
    }
  }

  /** The `count` most recently seen entries of each region, or fewer. */
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
