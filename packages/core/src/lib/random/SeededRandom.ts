import type RandomSource from './RandomSource.js';

const INCREMENT = 0x6d2b79f5;
const RANGE = 2 ** 32;

/** Deterministic generator (mulberry32), for tests, replays and policies with a fixed seed. */
export default class SeededRandom implements RandomSource {
  #state: number;

  constructor(seed: number) {
    this.#state = seed % RANGE;
  }

  /* eslint-disable no-bitwise -- the generator is defined on 32-bit words */
  next(): number {
    this.#state = (this.#state + INCREMENT) | 0;
    let word = Math.imul(this.#state ^ (this.#state >>> 15), 1 | this.#state);
    word ^= word + Math.imul(word ^ (word >>> 7), 61 | word);
    return ((word ^ (word >>> 14)) >>> 0) / RANGE;
  }
  /* eslint-enable no-bitwise */
}
