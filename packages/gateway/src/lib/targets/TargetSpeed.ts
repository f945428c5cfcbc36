import type { Clock } from '@dandelionlane/core';
import LoadLimit from './LoadLimit.js';
import MAXIMUM_SLOWDOWN from './MAXIMUM_SLOWDOWN.js';
import NO_SLOWDOWN from './NO_SLOWDOWN.js';
import SLOW_FACTOR from './SLOW_FACTOR.js';
import type TargetStep from './TargetStep.js';
import type UsualSlowdown from './UsualSlowdown.js';

/** Ranges of load that are told apart: quarters of the slots. */
const BUCKETS = 4;

/** Time after which a sample has lost 63% of its weight, in ms: a change shows within one to two seconds. */
const FORGETTING_MILLISECONDS = 1_000;

/**
 * Weight of the assumption that the target is as fast as at a lower load, in ms of measured time: less than
 * a step, so that it prevails only while there are no samples. For an idle target with a slowdown of 4 that
 * is after 3.7 s.
 */
const ASSUMPTION_WEIGHT_MILLISECONDS = 30;

/** Weight of the slowdown that other entries have measured, in ms of measured time: that of a few steps. */
const SHARED_WEIGHT_MILLISECONDS = 200;

/** Age up to which a shared slowdown has its full weight, in ms: several messages. */
const SHARED_AGE_MILLISECONDS = 600;

/**
 * Measured time from which the samples of this entry count as evidence, in ms: one step that is lengthened
 * by the prompts of other entries does not suffice.
 */
const EVIDENCE_MILLISECONDS = 250;

/** Largest slowdown of a single step: a longer silence is a stall, which is detected elsewhere. */
const MAXIMUM_STEP_SLOWDOWN = 8;

/** Time after which no sample of a slow target has any weight left, in ms. */
const MEMORY_MILLISECONDS = 10_000;

/** Time without samples after which a target that was slow counts as new, in ms. */
const PROBING_MILLISECONDS = 4_000;

/** Samples of one range of load; older ones weigh less. */
interface Bucket {
  measured: number;
  expected: number;
  shared: number;
  sharedAt: number;
}

/** Requests at a target and its slots. */
type Load = Pick<TargetStep, 'load' | 'slots'>;

function bucketOf({ load, slots }: Load): number {
  const quarter = Math.ceil((load * BUCKETS) / Math.max(1, slots)) - 1;
  return Math.min(BUCKETS - 1, Math.max(0, quarter));
}

/**
 * Learns how much slower a target is than configured, by its load.
 *
 * The slowdown is a ratio of sums, the measured over the expected time of all steps. Delays on the path
 * cancel out, as what one step gains by them the next one loses. Samples lose their weight within
 * seconds, after which the target is assumed to be as fast as configured.
 */
export default class TargetSpeed {
  readonly #clock: Clock;

  readonly #buckets: readonly Bucket[];

  #samples = 0;

  /** Monotonic time up to which the samples have lost weight, in ms. */
  #decayedAt: number;

  #sampledAt = Number.NEGATIVE_INFINITY;

  #sharedAt = Number.NEGATIVE_INFINITY;

  #sharedSlowdown = 1;

  /** Load of the newest sample. */
  #load: Load = { load: 0, slots: 0 };

  #isConfirmed: boolean;

  /** Monotonic time from which the target cannot be slow, as nothing has said so lately, in ms. */
  #slowUntil = Number.NEGATIVE_INFINITY;

  readonly #limit: LoadLimit;

  /** @param isConfirmed Whether it is taken to be as fast as configured before any samples. */
  constructor(clock: Clock, isConfirmed = false) {
    this.#clock = clock;
    this.#isConfirmed = isConfirmed;
    this.#limit = new LoadLimit(clock);
    this.#decayedAt = clock.monotonicMilliseconds();
    this.#buckets = Array.from({ length: BUCKETS }, () => ({
      measured: 0, expected: 0, shared: 1, sharedAt: Number.NEGATIVE_INFINITY,
    }));
  }

  /**
   * Records steps of the target. Implausible ones are ignored.
   * @param usual Slowdown of nearly all targets of the kind, which is divided out.
   */
  record(
    { measuredMilliseconds, expectedMilliseconds, ...load }: TargetStep,
    usual: UsualSlowdown = NO_SLOWDOWN,
  ): void {
    const bucket = this.#buckets[bucketOf(load)];
    if (bucket === undefined || !(measuredMilliseconds >= 0) || !(expectedMilliseconds > 0)) {
      return;
    }
    this.#decay();
    bucket.measured += Math.min(measuredMilliseconds, expectedMilliseconds * MAXIMUM_STEP_SLOWDOWN);
    bucket.expected += expectedMilliseconds;
    this.#samples += 1;
    this.#sampledAt = this.#clock.monotonicMilliseconds();
    this.#load = load;
    if (this.ownSlowdown() !== null) {
      this.#judge(load, usual);
    }
  }

  /** Records the slowdown that all entries together have measured at a load. */
  recordShared(slowdown: number, load: Load, usual: UsualSlowdown = NO_SLOWDOWN): void {
    const bucket = this.#buckets[bucketOf(load)];
    if (bucket !== undefined && Number.isFinite(slowdown)) {
      bucket.shared = Math.min(MAXIMUM_SLOWDOWN, Math.max(1, slowdown));
      this.#sharedSlowdown = bucket.shared;
      bucket.sharedAt = this.#clock.monotonicMilliseconds();
      this.#sharedAt = bucket.sharedAt;
      this.#judge(load, usual);
    }
  }

  /** Whether it was slow at any load lately. Mostly without the clock: each choice asks it of all targets. */
  get mayBeSlow(): boolean {
    if (this.#slowUntil !== Number.NEGATIVE_INFINITY
      && this.#clock.monotonicMilliseconds() >= this.#slowUntil) {
      this.#slowUntil = Number.NEGATIVE_INFINITY;
    }
    return this.#slowUntil !== Number.NEGATIVE_INFINITY;
  }

  /**
   * Slowdown at a load; 1 while it is not above what also occurs at targets that run as configured.
   */
  slowdownAt(load: Load, usual: UsualSlowdown = NO_SLOWDOWN): number {
    if (!this.mayBeSlow) {
      return 1;
    }
    const estimate = this.#estimate(bucketOf(load), usual, true);
    const slowdown = load.load > this.#limit.load ? Math.max(estimate, this.#limit.slowdown) : estimate;
    return slowdown < SLOW_FACTOR ? 1 : Math.min(MAXIMUM_SLOWDOWN, slowdown);
  }

  /**
   * Slowdown that this entry itself has measured at the load of the newest sample, for the other entries;
   * null where it has too few samples.
   */
  ownSlowdown(): number | null {
    this.#decay();
    const measured = this.#buckets.reduce((sum, bucket) => sum + bucket.measured, 0);
    if (measured < EVIDENCE_MILLISECONDS) {
      return null;
    }
    return Math.min(MAXIMUM_SLOWDOWN, this.#estimate(bucketOf(this.#load), NO_SLOWDOWN, false));
  }

  /** Slowdown that was last shared; null where that is some time ago. */
  get sharedSlowdown(): number | null {
    const age = this.#clock.monotonicMilliseconds() - this.#sharedAt;
    return age < SHARED_AGE_MILLISECONDS ? this.#sharedSlowdown : null;
  }

  /** Load up to which the target was not slow lately; infinite where it was at none. */
  get limit(): number {
    return this.#limit.load;
  }

  /**
   * Whether the target was slow when it was last measured, some time ago: a single stream is to find out
   * whether it still is.
   */
  get needsProbe(): boolean {
    if (this.#isConfirmed || !this.mayBeSlow) {
      return false;
    }
    const age = this.#evidenceAge;
    return age >= SHARED_AGE_MILLISECONDS && age < PROBING_MILLISECONDS;
  }

  /** Whether samples have agreed with the configured speed since the target was new or slow. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** Number of samples of this entry that still have weight. */
  get samples(): number {
    this.#decay();
    return Math.round(this.#samples);
  }

  /** Time since the newest sample of this entry, in ms; infinite without any. */
  get ageMilliseconds(): number {
    return this.#clock.monotonicMilliseconds() - this.#sampledAt;
  }

  /** Time since the newest sample of this entry or the newest shared slowdown, in ms. */
  get #evidenceAge(): number {
    return this.#clock.monotonicMilliseconds() - Math.max(this.#sampledAt, this.#sharedAt);
  }

  /** Judges from all samples whether the target is slow at a load. */
  #judge(load: Load, usual: UsualSlowdown): void {
    const slowdown = Math.min(MAXIMUM_SLOWDOWN, this.#estimate(bucketOf(load), usual, true));
    this.#isConfirmed = slowdown < SLOW_FACTOR;
    if (!this.#isConfirmed) {
      this.#slowUntil = this.#clock.monotonicMilliseconds() + MEMORY_MILLISECONDS;
      this.#limit.record(slowdown, (bucketOf(load) * load.slots) / BUCKETS, load.slots);
    }
  }

  /** Estimates the slowdown in a range of load, assuming that of the next lower one where little is known. */
  #estimate(highest: number, usual: UsualSlowdown, usesShared: boolean): number {
    this.#decay();
    const now = this.#clock.monotonicMilliseconds();
    return this.#buckets.slice(0, highest + 1).reduce((assumed, {
      measured, expected, shared, sharedAt,
    }) => {
      const age = Math.max(0, now - sharedAt - SHARED_AGE_MILLISECONDS);
      const weight = usesShared ? SHARED_WEIGHT_MILLISECONDS * Math.exp(-age / FORGETTING_MILLISECONDS) : 0;
      const others = weight * Math.max(1, shared / usual.shared);
      return (measured / usual.own + ASSUMPTION_WEIGHT_MILLISECONDS * assumed + others)
        / (expected + ASSUMPTION_WEIGHT_MILLISECONDS + weight);
    }, 1);
  }

  #decay(): void {
    const now = this.#clock.monotonicMilliseconds();
    if (now > this.#decayedAt) {
      const factor = Math.exp((this.#decayedAt - now) / FORGETTING_MILLISECONDS);
      this.#decayedAt = now;
      this.#samples *= factor;
      this.#buckets.forEach((each) => {
        const bucket = each;
        bucket.measured *= factor;
        bucket.expected *= factor;
      });
    }
  }
}
