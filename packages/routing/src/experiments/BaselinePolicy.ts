import type { RandomSource } from '@dandelionlane/core';
import type ChoicePolicy from './ChoicePolicy.js';

/* eslint-disable class-methods-use-this -- the baselines ignore all events */
/** Baselines for comparison: round robin or random choice. */
export default class BaselinePolicy implements ChoicePolicy {
  #engines: number;

  #random: RandomSource | null;

  #next = 0;

  /** Chooses at random with a random source, else round robin. */
  constructor(engines: number, random: RandomSource | null) {
    this.#engines = engines;
    this.#random = random;
  }

  choose(): number {
    if (this.#random !== null) {
      return Math.floor(this.#random.next() * this.#engines);
    }
    this.#next = (this.#next + 1) % this.#engines;
    return this.#next;
  }

  recordDispatch(): void {}

  recordCompletion(): void {}

  recordReport(): void {}

  recordCachedPrefix(): void {}
}
