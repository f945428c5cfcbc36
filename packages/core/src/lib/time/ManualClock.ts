import type Clock from './Clock.js';

/** A clock that only advances on request, for tests and replays. */
export default class ManualClock implements Clock {
  #milliseconds: number;

  constructor(startMilliseconds = 0) {
    this.#milliseconds = startMilliseconds;
  }

  now(): Date {
    return new Date(this.#milliseconds);
  }

  monotonicMilliseconds(): number {
    return this.#milliseconds;
  }

  /** Advances the clock. A negative step throws a RangeError. */
  advance(milliseconds: number): void {
    if (milliseconds < 0) {
      throw new RangeError('a clock cannot go back');
    }
    this.#milliseconds += milliseconds;
  }
}
