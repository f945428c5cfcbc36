import type { ModelName } from '@dandelionlane/core';
import type { EngineProfile } from '@dandelionlane/fleet';
import type ModelTiming from './ModelTiming.js';

/** What decides whether a stream is on time at a target. */
export default interface StreamRequirements {
  readonly engine: EngineProfile;
  readonly model: ModelName | null;
  readonly timing: ModelTiming;
  readonly promptTokens: number;
  /** Time left until its first event is late, in ms; infinite for a stream that a target has begun. */
  readonly firstEventBudgetMilliseconds: number;
  /** Longest pause between events for which streams are on time, in ms, or null. */
  readonly pauseAimMilliseconds: number | null;
}
