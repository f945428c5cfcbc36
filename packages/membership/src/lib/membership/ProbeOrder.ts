import type { EntryId, RandomSource } from '@dandelionlane/core';
import type MemberTable from './MemberTable.js';
import shuffle from './shuffle.js';

function isPresent(table: MemberTable, entry: EntryId): boolean {
  const member = table.get(entry);
  return member !== undefined && member.update.liveness !== 'dead';
}

/**
 * Order of probing: a random permutation of the members, reshuffled after each pass. Every
 * member is probed within two passes, which bounds the time to detection.
 */
export default class ProbeOrder {
  readonly #random: RandomSource;

  #order: EntryId[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** The next member to probe. Dead or removed members are skipped; new ones join the next pass. */
  next(table: MemberTable): EntryId | undefined {
    for (let entry = this.#order.pop(); entry !== undefined; entry = this.#order.pop()) {
      if (isPresent(table, entry)) {
        return entry;
      }
    }
    const present = table.present().map(({ update }) => update.entry.entry);
    this.#order = shuffle(present, this.#random);
    return this.#order.pop();
  }
}
