import type Clock from './Clock.js';

/** Difference between the two clocks above which the process is taken to have been stopped, in ms. */
const STOP_THRESHOLD_MILLISECONDS = 100;

/**
 * Clock whose monotonic reading includes time during which the VM was suspended.
 *
 * Some kernels stop the monotonic clock while a VM is suspended. The wall clock goes on, so a
 * wall clock that ran ahead is counted as time passed. A step of the wall clock forward is
 * counted too: for a lease that is the safe side.
 */
export default class SuspendAwareClock implements Clock {
  readonly #inner: Clock;

  #stoppedMilliseconds = 0;

  #lastWall: number;

  #lastMonotonic: number;

  constructor(inner: Clock) {
    this.#inner = inner;
    this.#lastWall = inner.now().getTime();
    this.#lastMonotonic = inner.monotonicMilliseconds();
  }

  now(): Date {
    return this.#inner.now();
  }

  monotonicMilliseconds(): number {
    const wall = this.#inner.now().getTime();
    const monotonic = this.#inner.monotonicMilliseconds();
    const ahead = (wall - this.#lastWall) - (monotonic - this.#lastMonotonic);
    if (ahead > STOP_THRESHOLD_MILLISECONDS) {
      this.#stoppedMilliseconds += ahead;
    }
    this.#lastWall = wall;
    this.#lastMonotonic = monotonic;
    return monotonic + this.#stoppedMilliseconds;
  }
}
