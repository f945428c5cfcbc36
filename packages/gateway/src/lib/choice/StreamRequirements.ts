import type { ModelName } from '@dandelionlane/core';
import type { EngineProfile } from '@dandelionlane/fleet';
import type ModelTiming from './ModelTiming.js';

/** Properties of a stream that decide whether it is on time at a target. */
export default interface StreamRequirements {
  readonly engine: EngineProfile;
  readonly model: ModelName | null;
  readonly timing: ModelTiming;
  readonly promptTokens: number;
  /** Time left until its first event is late, in ms; infinite for a stream that a target has started. */
  readonly firstEventBudgetMilliseconds: number;
  /** Longest gap between events for which streams are on time, in ms; null where there is no limit. */
  readonly targetGapMilliseconds: number | null;
  /** Priority by which it competes for slots, 0 the most urgent; none for a stream that has started. */
  readonly priority?: number;
}
