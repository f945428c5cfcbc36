import type { Clock } from '@dandelionlane/core';
import type { Route } from '@dandelionlane/fleet';

/** Share of the longest deadline below which a caller is retrying: deadlines of first tries vary, too. */
const FIRST_TRY_SHARE = 0.8;

/** Length of one period over which the longest deadline is tracked, in ms; the previous one counts too. */
const PERIOD_MILLISECONDS = 10_000;

/** Longest deadlines that callers of a route gave, in ms. */
interface LongestDeadlines {
  periodStartedAt: number;
  current: number;
  previous: number;
}

/**
 * Estimates how long a caller has spent on earlier tries of a request: the latency objective counts
 * from the first try, and a caller that retries has less time left than callers that begin.
 */
export default class SpentTimeEstimator {
  readonly #clock: Clock;

  readonly #longestByRoute = new Map<string, LongestDeadlines>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Lower bound of the time that a caller has spent on earlier tries, in ms.
   * @param deadlineMilliseconds Time for which it will still wait, or null where it does not state one.
   */
  estimateMilliseconds({ name }: Route, deadlineMilliseconds: number | null): number {
    if (deadlineMilliseconds === null) {
      return 0;
    }
    const firstTryMilliseconds = this.#longestMilliseconds(name, deadlineMilliseconds) * FIRST_TRY_SHARE;
    return Math.max(0, Math.round(firstTryMilliseconds - deadlineMilliseconds));
  }

  #longestMilliseconds(route: string, deadlineMilliseconds: number): number {
    const now = this.#clock.monotonicMilliseconds();
    const deadlines = this.#longestByRoute.get(route) ?? { periodStartedAt: now, current: 0, previous: 0 };
    this.#longestByRoute.set(route, deadlines);
    if (now - deadlines.periodStartedAt >= PERIOD_MILLISECONDS) {
      Object.assign(deadlines, { periodStartedAt: now, current: 0, previous: deadlines.current });
    }
    deadlines.current = Math.max(deadlines.current, deadlineMilliseconds);
    return Math.max(deadlines.current, deadlines.previous);
  }
}
