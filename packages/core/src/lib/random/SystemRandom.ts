import type RandomSource from './RandomSource.js';

/** The random source of the runtime. */
export default class SystemRandom implements RandomSource {
  // eslint-disable-next-line class-methods-use-this -- implements an interface
  next(): number {
    return Math.random();
  }
}
