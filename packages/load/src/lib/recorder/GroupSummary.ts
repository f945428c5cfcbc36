import type { ServiceId, TeamId } from '@dandelionlane/core';
import type LatencySummary from './LatencySummary.js';
import type OutcomeCounts from './OutcomeCounts.js';

/** What one team saw of one service. */
export default interface GroupSummary {
  readonly team: TeamId;
  readonly service: ServiceId;
  readonly outcomes: OutcomeCounts;
  /** From the intended start to the first token; streams only. */
  readonly firstToken: LatencySummary | null;
  readonly betweenTokens: LatencySummary | null;
  /** From the intended start to the end of an answered call. */
  readonly whole: LatencySummary | null;
}
