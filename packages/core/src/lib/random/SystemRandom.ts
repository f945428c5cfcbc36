import type RandomSource from './RandomSource.js';

/** Random source based on `Math.random`. */
export default class SystemRandom implements RandomSource {
  // eslint-disable-next-line class-methods-use-this -- implements an interface
  next(): number {
    return Math.random();
  }
}
