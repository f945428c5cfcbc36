import type Clock from './Clock.js';

/** The clock of the operating system. */
export default class SystemClock implements Clock {
  // eslint-disable-next-line class-methods-use-this -- implements an interface
  now(): Date {
    return new Date();
  }

  // eslint-disable-next-line class-methods-use-this -- implements an interface
  monotonicMilliseconds(): number {
    return performance.now();
  }
}
