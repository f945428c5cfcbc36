import type { Clock, WorkerId } from '@dandelionlane/core';
import type TargetState from './TargetState.js';
import type TargetStates from './TargetStates.js';

/** Period of the check, in ms. */
const PERIOD_MILLISECONDS = 40;

/**
 * Time beyond the stall threshold after which started streams move to another target, in ms. They lose
 * more by a move than streams that have not started, which move at once.
 */
const STARTED_GRACE_MILLISECONDS = 100;

/**
 * Multiple of the expected time to a first event after which a target without any progress is
 * suspected: one in a hundred streams takes longer than this at a healthy target.
 */
const UNSTARTED_FACTOR = 3;

/** Lower bound of that time, in ms. */
const MINIMUM_UNSTARTED_MILLISECONDS = 400;

/** Share of the stall threshold from which the holder of the lease is asked to check the group. */
const DOUBT_SHARE = 0.75;

/** Time for which a suspected target is excluded, in ms; a new formation of its group ends it. */
const SUSPICION_MILLISECONDS = 400;

/** Delay of a check above which this process itself had stalled, in ms. */
const LOCAL_STALL_MILLISECONDS = 120;

/** Dependencies of a `StallDetector`. */
interface StallDetectorOptions {
  readonly states: TargetStates;
  readonly clock: Clock;
  /** Stall threshold: longest usual silence of a target with a number of unread prompt tokens, in ms. */
  readonly stallThreshold: (worker: WorkerId, unreadTokens: number) => number;
}

/**
 * Detects targets that accept requests and produce nothing. A target generates for all its streams
 * in one batch, so that a started stream receives events with every pass.
 */
export default class StallDetector {
  readonly #options: StallDetectorOptions;

  #lastCheckAt: number;

  #locallyStalledUntil = Number.NEGATIVE_INFINITY;

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
    if (now - this.#lastCheckAt > LOCAL_STALL_MILLISECONDS) {
      // Data that arrived meanwhile has not been read yet.
      this.#locallyStalledUntil = now + PERIOD_MILLISECONDS;
    }
    this.#lastCheckAt = now;
    this.#options.states.conditions.recordCheck();
    if (now >= this.#locallyStalledUntil) {
      [...this.#options.states.entries()]
        .filter(([, { streams }]) => streams.size > 0)
        .forEach(([worker, state]) => this.#checkTarget(worker, state, now));
    }
  }

  #checkTarget(worker: WorkerId, state: TargetState, now: number): void {
    const { states, stallThreshold } = this.#options;
    const streams = [...state.streams].filter(({ paused }) => !paused);
    const started = streams.filter(({ lastEventAt }) => lastEventAt !== null);
    const [first] = streams;
    if (first === undefined) {
      return;
    }
    const oldest = Math.min(...streams.map(({ sentAt }) => sentAt));
    // A target that delivers events to other entries has not stalled: it has not read these prompts yet.
    const sharedProgressAt = started.length === 0 ? states.sharedProgressAt(first.formation) : oldest;
    const silence = now - Math.max(oldest, state.lastProgressAt, sharedProgressAt);
    const limit = started.length === 0
      ? Math.max(MINIMUM_UNSTARTED_MILLISECONDS, first.expectedFirstEventMilliseconds * UNSTARTED_FACTOR)
      : stallThreshold(worker, state.estimateUnreadTokens());
    if (silence > limit * DOUBT_SHARE) {
      state.doubt(first.formation);
    }
    if (silence <= limit) {
      return;
    }
    state.suspect(first.formation, SUSPICION_MILLISECONDS);
    const isPastGrace = silence > limit + STARTED_GRACE_MILLISECONDS;
    streams.filter(({ lastEventAt }) => isPastGrace || lastEventAt === null)
      .forEach((stream) => stream.stalled());
  }
}
