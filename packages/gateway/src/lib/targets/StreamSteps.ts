import type { ModelName } from '@dandelionlane/core';
import { decodePassMilliseconds, prefillMilliseconds, type EngineProfile } from '@dandelionlane/fleet';
import type TargetState from './TargetState.js';
import type TargetStates from './TargetStates.js';

/** What a stream runs on. */
interface StreamOrigin {
  readonly states: TargetStates;
  readonly state: TargetState;
  readonly engine: EngineProfile;
  readonly model: ModelName | null;
  readonly formation: string;
  /** Targets with the same kind are comparable in speed. */
  readonly kind: string;
}

/** Measures the steps of a target by the events of one stream. */
export default class StreamSteps {
  readonly #origin: StreamOrigin;

  /** Previous delivery; null where the time since then would say nothing about the target. */
  #previous: { readonly at: number; readonly load: number; readonly prefilledTokens: number } | null = null;

  constructor(origin: StreamOrigin) {
    this.#origin = origin;
  }

  /**
   * Records events that were delivered together at a monotonic time, in ms. They are those of several
   * passes where they came late, and are expected to have taken as long as those.
   */
  record(events: number, now: number): void {
    const {
      states, state, engine, model, formation, kind,
    } = this.#origin;
    const { slots } = engine;
    const { load, assumed, unreadTokens } = state.loadNow(slots);
    const { prefilledTokens } = state;
    const previous = this.#previous;
    this.#previous = { at: now, load, prefilledTokens };
    if (previous === null) {
      return;
    }
    const typicalEvents = states.typicalValueOf(kind);
    typicalEvents.record(events);
    const passes = Math.max(1, events / typicalEvents.or(1));
    const tokens = prefilledTokens - previous.prefilledTokens + unreadTokens * passes;
    // A pass takes the streams that run at its start, some of which may have ended with it.
    const highest = Math.max(load, previous.load);
    state.kind = kind;
    state.recordSteps(formation, previous.at, {
      measuredMilliseconds: now - previous.at,
      expectedMilliseconds: passes * decodePassMilliseconds(engine, model, Math.max(highest, assumed))
        + prefillMilliseconds(engine, model, tokens),
      load: highest,
      slots,
    });
  }

  /** Discards the time since the last delivery: the caller does not read, so events wait here. */
  interrupt(): void {
    this.#previous = null;
  }
}
