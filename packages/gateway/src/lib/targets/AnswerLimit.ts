/** Slowdown, relative to that of an idle target, from which load is taken to be its cause. */
const OVERLOAD_FACTOR = 2;

/** Factor on the requests at an overloaded target that gives the new limit. */
const DECREASE = 0.75;

/** Shortest time between two decreases, in ms: answers of before say nothing about the new limit. */
const DECREASE_PERIOD_MILLISECONDS = 300;

/** An answer, with how slow the target has been lately at its load and while it was nearly idle. */
interface LimitedAnswer {
  /** Monotonic time of the answer, in ms. */
  readonly now: number;
  /** Requests of this entry that the target had, including the answered one. */
  readonly outstanding: number;
  readonly slots: number;
  readonly slowdown: number;
  readonly idleSlowdown: number;
}

/**
 * Limits the requests of this entry in flight at a plain target. It falls by a quarter when answers slow
 * down with load, and rises by one with as many answers as it admits. Entries in front of the same target
 * tend to equal limits without messages.
 */
export default class AnswerLimit {
  /** Null while it is the registered number of slots. */
  #limit: number | null = null;

  #decreasedAt = Number.NEGATIVE_INFINITY;

  /** Records an answer. */
  record({
    now, outstanding, slots, slowdown, idleSlowdown,
  }: LimitedAnswer): void {
    const limit = this.of(slots);
    const isOverloaded = outstanding > 1 && slowdown >= OVERLOAD_FACTOR * idleSlowdown;
    if (!isOverloaded) {
      const raised = limit + 1 / Math.max(1, limit);
      this.#limit = this.#limit === null || raised >= slots ? null : raised;
    } else if (now - this.#decreasedAt >= DECREASE_PERIOD_MILLISECONDS) {
      this.#decreasedAt = now;
      this.#limit = Math.max(1, Math.min(limit, outstanding) * DECREASE);
    }
  }

  /** The limit at a target with a registered number of slots, which it never exceeds. */
  of(slots: number): number {
    return Math.min(slots, this.#limit ?? slots);
  }
}
