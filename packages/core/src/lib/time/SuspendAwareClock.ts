import type Clock from './Clock.js';

/** Lead of the wall clock over the monotonic clock that counts as a suspension, in ms. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 100;

/**
 * Clock whose monotonic time includes the time during which the VM was suspended.
 *
 * Some kernels stop the monotonic clock while a VM is suspended, but not the wall clock. Time by
 * which the wall clock has advanced further is added. A forward step of the wall clock is added
 * too: for a lease this errs on the safe side.
 */
export default class SuspendAwareClock implements Clock {
  readonly #inner: Clock;

  #suspendedMilliseconds = 0;

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
    const leadMilliseconds = (wall - this.#lastWall) - (monotonic - this.#lastMonotonic);
    if (leadMilliseconds > SUSPENSION_THRESHOLD_MILLISECONDS) {
      this.#suspendedMilliseconds += leadMilliseconds;
    }
    this.#lastWall = wall;
    this.#lastMonotonic = monotonic;
    return monotonic + this.#suspendedMilliseconds;
  }
}
