import type { Clock, WorkerId } from '@dandelionlane/core';
import type TargetState from './TargetState.js';
import type TargetStates from './TargetStates.js';

/** Period of the check, in ms. */
const PERIOD_MILLISECONDS = 40;

/**
 * Time beyond the usual silence after which started streams go on elsewhere, in ms. They lose
 * more by a move than streams that have not begun, which go at once.
 */
const STARTED_PATIENCE_MILLISECONDS = 100;

/**
 * Expected times to a first event after which a target that shows no progress at all is left out:
 * one in a hundred streams takes longer than this at a target that is well.
 */
const UNSTARTED_FACTOR = 3;

/** Least such wait, in ms. */
const LEAST_UNSTARTED_MILLISECONDS = 400;

/** Share of the limit of silence from which the holder of the lease is asked to look at the group. */
const DOUBT_SHARE = 0.75;

/** Time for which a suspected target is left out, in ms; a new formation of its group ends it. */
const SUSPICION_MILLISECONDS = 400;

/** Delay of a check above which this process itself stood still, in ms. */
const OWN_DELAY_MILLISECONDS = 120;

/** What a `StallDetector` needs from outside. */
interface StallDetectorOptions {
  readonly states: TargetStates;
  readonly clock: Clock;
  /** Longest usual silence of a target with so many unread prompt tokens, in ms. */
  readonly quietLimit: (worker: WorkerId, unreadTokens: number) => number;
}

/**
 * Finds targets that accept requests and produce nothing. A target generates for all its streams
 * in one batch: a started stream hears from it with every pass.
 */
export default class StallDetector {
  readonly #options: StallDetectorOptions;

  #lastCheckAt: number;

  #ownDelayUntil = Number.NEGATIVE_INFINITY;

  #timer: NodeJS.Timeout | undefined;

  constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#lastCheckAt = options.clock.monotonicMilliseconds();
  }

  start(): void {
    this.#timer = setInterval(() => this.check(), PERIOD_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  check(): void {
    const now = this.#options.clock.monotonicMilliseconds();
    if (now - this.#lastCheckAt > OWN_DELAY_MILLISECONDS) {
      // What came in meanwhile has not been read yet.
      this.#ownDelayUntil = now + PERIOD_MILLISECONDS;
    }
    this.#lastCheckAt = now;
    if (now >= this.#ownDelayUntil) {
      [...this.#options.states.entries()]
        .filter(([, { streams }]) => streams.size > 0)
        .forEach(([worker, state]) => this.#checkTarget(worker, state, now));
    }
  }

  #checkTarget(worker: WorkerId, state: TargetState, now: number): void {
    const streams = [...state.streams].filter(({ paused }) => !paused);
    const started = streams.filter(({ lastEventAt }) => lastEventAt !== null);
    const [first] = streams;
    if (first === undefined) {
      return;
    }
    const oldest = Math.min(...streams.map(({ sentAt }) => sentAt));
    const silence = now - Math.max(oldest, state.lastProgressAt);
    const limit = started.length === 0
      ? Math.max(LEAST_UNSTARTED_MILLISECONDS, first.expectedFirstEventMilliseconds * UNSTARTED_FACTOR)
      : this.#options.quietLimit(worker, state.estimateUnreadTokens());
    if (silence > limit * DOUBT_SHARE) {
      state.doubt(first.formation);
    }
    if (silence <= limit) {
      return;
    }
    state.suspect(first.formation, SUSPICION_MILLISECONDS);
    const isCertain = silence > limit + STARTED_PATIENCE_MILLISECONDS;
    streams.filter(({ lastEventAt }) => isCertain || lastEventAt === null)
      .forEach((stream) => stream.stalled());
  }
}
