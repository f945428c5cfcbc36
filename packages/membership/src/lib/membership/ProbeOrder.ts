import type { EntryId, RandomSource } from '@dandelionlane/core';
import shuffle from './shuffle.js';

/**
 * Order of probing: a random permutation of the members, drawn anew at its end. Every
 * member is probed within two passes, which bounds the time to detection.
 */
export default class ProbeOrder {
  readonly #random: RandomSource;

  #order: EntryId[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** The next member to probe, out of `present`. */
  next(present: readonly EntryId[]): EntryId | undefined {
    const current = new Set(present);
    this.#order = this.#order.filter((entry) => current.has(entry));
    if (this.#order.length === 0) {
      this.#order = shuffle(present, this.#random);
    }
    return this.#order.pop();
  }
}
