import type { Clock } from '@dandelionlane/core';
import type TargetState from './TargetState.js';
import type TargetStates from './TargetStates.js';

/** Period of the check, in ms. */
const PERIOD_MILLISECONDS = 40;

/** Silence of all started streams of a target from which no new request is sent to it, in ms. */
const SUSPECT_SILENCE_MILLISECONDS = 250;

/** Silence of all started streams of a target from which they go on elsewhere, in ms. */
const MOVE_SILENCE_MILLISECONDS = 450;

/** Wait for the first event from which a target that shows no progress at all is left out, in ms. */
const UNSTARTED_SILENCE_MILLISECONDS = 900;

/** Time for which a suspected target is left out, in ms; a new formation of its group ends it. */
const SUSPICION_MILLISECONDS = 1_500;

/** Delay of a check above which this process itself stood still, in ms. */
const OWN_DELAY_MILLISECONDS = 120;

/**
 * Finds targets that accept requests and produce nothing. A target generates for all its streams
 * in one batch, so the silence of one stream says little, and that of all of them much.
 */
export default class StallDetector {
  readonly #states: TargetStates;

  readonly #clock: Clock;

  #lastCheckAt: number;

  #ownDelayUntil = Number.NEGATIVE_INFINITY;

  #timer: NodeJS.Timeout | undefined;

  constructor(states: TargetStates, clock: Clock) {
    this.#states = states;
    this.#clock = clock;
    this.#lastCheckAt = clock.monotonicMilliseconds();
  }

  start(): void {
    this.#timer = setInterval(() => this.check(), PERIOD_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  check(): void {
    const now = this.#clock.monotonicMilliseconds();
    if (now - this.#lastCheckAt > OWN_DELAY_MILLISECONDS) {
      // What came in meanwhile has not been read yet.
      this.#ownDelayUntil = now + PERIOD_MILLISECONDS;
    }
    this.#lastCheckAt = now;
    if (now >= this.#ownDelayUntil) {
      [...this.#states.all()].forEach((state) => StallDetector.#checkTarget(state, now));
    }
  }

  static #checkTarget(state: TargetState, now: number): void {
    const streams = [...state.streams].filter(({ paused }) => !paused);
    const started = streams.filter(({ lastEventAt }) => lastEventAt !== null);
    const silence = now - state.lastProgressAt;
    const [first] = streams;
    if (first === undefined) {
      return;
    }
    if (started.length > 0) {
      if (silence > SUSPECT_SILENCE_MILLISECONDS) {
        state.suspect(first.formation, SUSPICION_MILLISECONDS);
      }
      if (silence > MOVE_SILENCE_MILLISECONDS) {
        streams.forEach((stream) => stream.stalled());
      }
      return;
    }
    const oldest = Math.min(...streams.map(({ sentAt }) => sentAt));
    if (now - Math.max(oldest, state.lastProgressAt) > UNSTARTED_SILENCE_MILLISECONDS) {
      state.suspect(first.formation, SUSPICION_MILLISECONDS);
      streams.forEach((stream) => stream.stalled());
    }
  }
}
