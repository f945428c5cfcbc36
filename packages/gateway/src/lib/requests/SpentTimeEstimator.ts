import type { Clock } from '@dandelionlane/core';
import type { Route } from '@dandelionlane/fleet';

/** Share of the longest time below which a caller is at a later attempt: first tries differ, too. */
const FIRST_TRY_SHARE = 0.8;

/** Length of one period in which the longest time is kept, in ms; the one before counts too. */
const PERIOD_MILLISECONDS = 10_000;

/** Longest times that callers of a route had left. */
interface LongestTimes {
  periodStartedAt: number;
  current: number;
  previous: number;
}

/**
 * Tells how long callers have been at a request before this attempt: its objective counts from
 * their first try, and a caller that tries again has less time left than those that begin.
 */
export default class SpentTimeEstimator {
  readonly #clock: Clock;

  readonly #routes = new Map<string, LongestTimes>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Time that a caller has spent on earlier attempts at least, in ms.
   * @param deadlineMilliseconds Time that it will still wait, or null where it does not say.
   */
  estimateMilliseconds({ name }: Route, deadlineMilliseconds: number | null): number {
    if (deadlineMilliseconds === null) {
      return 0;
    }
    const firstTries = this.#longest(name, deadlineMilliseconds) * FIRST_TRY_SHARE;
    return Math.max(0, Math.round(firstTries - deadlineMilliseconds));
  }

  #longest(route: string, deadlineMilliseconds: number): number {
    const now = this.#clock.monotonicMilliseconds();
    const times = this.#routes.get(route) ?? { periodStartedAt: now, current: 0, previous: 0 };
    this.#routes.set(route, times);
    if (now - times.periodStartedAt >= PERIOD_MILLISECONDS) {
      Object.assign(times, { periodStartedAt: now, current: 0, previous: times.current });
    }
    times.current = Math.max(times.current, deadlineMilliseconds);
    return Math.max(times.current, times.previous);
  }
}
