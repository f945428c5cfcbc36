import type { Clock } from '@dandelionlane/core';
import NO_SLOWDOWN from './NO_SLOWDOWN.js';
import type UsualSlowdown from './UsualSlowdown.js';

/** Age from which the slowdown of this entry is measured again, in ms. */
const MEASURED_AGE_MILLISECONDS = 100;

/** Delay of a check from which this process itself had stalled, in ms. */
const LATE_MILLISECONDS = 80;

/** Period of the checks, in ms, with the delay that is usual for a timer. */
const CHECK_PERIOD_MILLISECONDS = 60;

/** Share of the targets that have to be slow for this entry to be taken as the cause. */
const SLOW_SHARE = 0.75;

/** Time from its start in which this entry finds targets that others know already, in ms. */
const START_MILLISECONDS = 2_000;

/** Slowdowns of a target; null where there is none. */
interface Measurement {
  /** Targets with the same kind are comparable. */
  readonly kind: string;
  /** As measured by this entry. */
  readonly own: number | null;
  /** As shared by all entries. */
  readonly shared: number | null;
}

/** The slowdown that most targets have at least, and no less than 1; null where fewer than two have one. */
function slowdownOfMost(slowdowns: readonly (number | null)[]): number | null {
  const sorted = slowdowns.filter((slowdown) => slowdown !== null).sort((left, right) => left - right);
  const least = sorted[Math.floor((sorted.length - 1) * (1 - SLOW_SHARE))] ?? 1;
  return sorted.length < 2 ? null : Math.max(1, least);
}

/**
 * Tells slow targets from a slow entry: an entry that has stalled or lacks processor time or bandwidth
 * sees nearly all targets slow by a similar factor.
 */
export default class LocalConditions {
  readonly #clock: Clock;

  readonly #measure: () => readonly Measurement[];

  /** Largest slowdown that choices take into account; at 1 the speed of targets is not learned. */
  readonly maximumSlowdown: number;

  readonly #startedAt: number;

  #usual: ReadonlyMap<string, UsualSlowdown> = new Map();

  #measuredAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time of the last check, in ms; null without checks. */
  #checkedAt: number | null = null;

  #stalledUntil = Number.NEGATIVE_INFINITY;

  /** @param measure Returns the slowdowns of all targets. */
  constructor(
    clock: Clock,
    measure: () => readonly Measurement[],
    maximumSlowdown = Number.POSITIVE_INFINITY,
  ) {
    this.maximumSlowdown = Math.max(1, maximumSlowdown);
    this.#clock = clock;
    this.#measure = measure;
    this.#startedAt = clock.monotonicMilliseconds();
  }

  /** Whether this entry has just started: targets that are new to it have mostly run before. */
  get isStarting(): boolean {
    return this.#clock.monotonicMilliseconds() - this.#startedAt < START_MILLISECONDS;
  }

  /** Whether the speed of targets is learned. */
  get isLearning(): boolean {
    return this.maximumSlowdown > 1;
  }

  /** Highest slowdown that this entry sees at nearly all targets of a kind. */
  get highestSlowdown(): number {
    return Math.max(1, ...[...this.#usual.values()].map(({ own }) => own));
  }

  /** Records that the event loop runs; called with a period of 40 ms. */
  recordCheck(): void {
    const now = this.#clock.monotonicMilliseconds();
    if (this.#isLate(now)) {
      this.#stalledUntil = now;
    }
    this.#checkedAt = now;
  }

  /** Whether this process has run without a stall since a monotonic time, in ms. */
  hasRunSince(since: number): boolean {
    return since >= this.#stalledUntil && !this.#isLate(this.#clock.monotonicMilliseconds());
  }

  /**
   * Slowdown of nearly all targets of a kind. Where this entry itself has measured fewer than two, it takes
   * what the entries have shared of all of them.
   */
  usualOf(kind: string): UsualSlowdown {
    const now = this.#clock.monotonicMilliseconds();
    if (now - this.#measuredAt >= MEASURED_AGE_MILLISECONDS) {
      this.#measuredAt = now;
      const byKind = new Map<string, Measurement[]>();
      this.#measure().forEach((measurement) => {
        const measurements = byKind.get(measurement.kind) ?? [];
        measurements.push(measurement);
        byKind.set(measurement.kind, measurements);
      });
      this.#usual = new Map([...byKind].map(([each, measurements]) => {
        const shared = slowdownOfMost(measurements.map((measurement) => measurement.shared)) ?? 1;
        const own = slowdownOfMost(measurements.map((measurement) => measurement.own)) ?? shared;
        return [each, { own, shared }];
      }));
    }
    return this.#usual.get(kind) ?? NO_SLOWDOWN;
  }

  #isLate(now: number): boolean {
    return this.#checkedAt !== null
      && now - this.#checkedAt > CHECK_PERIOD_MILLISECONDS + LATE_MILLISECONDS;
  }
}
