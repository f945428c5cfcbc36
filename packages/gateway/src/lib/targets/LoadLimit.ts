import type { Clock } from '@dandelionlane/core';

/** Time for which a limit holds after the target was last slow above it, in ms. */
const HOLD_MILLISECONDS = 500;

/** Longest such time, in ms: it doubles each time the target is slow again as soon as the limit rises. */
const MAXIMUM_HOLD_MILLISECONDS = 4_000;

/** Time in which a limit then rises from zero to the slots, in ms: slower than slowness is noticed. */
const RISE_MILLISECONDS = 4_000;

/** Time without slow steps after which the target counts as slow anew, in ms. */
const EPISODE_MILLISECONDS = 500;

/** Share of the lowest slow load that is the limit after requests beyond the limit have come. */
const OVERSHOOT_FACTOR = 0.75;

/**
 * Load up to which a target was not slow. Samples of higher loads lose their weight while there are none;
 * without a limit that rises slowly all entries would fill the target anew every few seconds.
 */
export default class LoadLimit {
  readonly #clock: Clock;

  /** Limit while it holds; infinite without one. */
  #load = Number.POSITIVE_INFINITY;

  #slowAt = Number.NEGATIVE_INFINITY;

  #hold = HOLD_MILLISECONDS;

  #slots = 1;

  /** Slowdown above the limit. */
  slowdown = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that the target is slow at loads above one. */
  record(slowdown: number, above: number, slots: number): void {
    const now = this.#clock.monotonicMilliseconds();
    const { load } = this;
    if (!Number.isFinite(load)) {
      this.#hold = HOLD_MILLISECONDS;
      this.#load = above;
    } else if (now - this.#slowAt < EPISODE_MILLISECONDS) {
      this.#load = Math.min(load, above);
    } else {
      // More requests than the limit came, as entries do not see each other's at once.
      this.#load = Math.min(load, above * OVERSHOOT_FACTOR);
      this.#hold = Math.min(MAXIMUM_HOLD_MILLISECONDS, this.#hold * 2);
    }
    this.#slowAt = now;
    this.#slots = slots;
    this.slowdown = slowdown;
  }

  /** The limit now; infinite without one. */
  get load(): number {
    const risen = Math.max(0, this.#clock.monotonicMilliseconds() - this.#slowAt - this.#hold);
    // A target that was slow at any load says nothing about how much load it takes once it is not.
    const rise = RISE_MILLISECONDS * (this.#load > 0 ? this.#hold / HOLD_MILLISECONDS : 1);
    const load = this.#load + (risen * this.#slots) / rise;
    return load >= this.#slots ? Number.POSITIVE_INFINITY : load;
  }
}
