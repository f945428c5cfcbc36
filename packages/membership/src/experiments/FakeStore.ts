import { type EntryId, type EntryRecord, ReleaseSequence } from '@dandelionlane/core';

const reachableFromAll: (entry: EntryId) => boolean = () => true;

/** Simulated store of the release head, with outages and a count of reads. */
export default class FakeStore {
  sequence = ReleaseSequence.parse(0);

  reads = 0;

  readonly #readsByEntry = new Map<EntryId, number>();

  #isReachableFrom = reachableFromAll;

  /** Sets the predicate for entries that reach the store. */
  setReachable(predicate: (entry: EntryId) => boolean): void {
    this.#isReachableFrom = predicate;
  }

  readsBy(entry: EntryId): number {
    return this.#readsByEntry.get(entry) ?? 0;
  }

  publish(): ReleaseSequence {
    this.sequence = ReleaseSequence.parse(this.sequence + 1);
    return this.sequence;
  }

  /** Reads the head. Undefined if the entry does not reach the store. */
  read({ entry }: EntryRecord): ReleaseSequence | undefined {
    this.reads += 1;
    this.#readsByEntry.set(entry, this.readsBy(entry) + 1);
    return this.#isReachableFrom(entry) ? this.sequence : undefined;
  }
}
