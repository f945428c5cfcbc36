import type { TeamId } from '@dandelionlane/core';

/** A team and the API keys that identify it. */
export default interface Team {
  readonly id: TeamId;
  readonly apiKeys: readonly string[];
  /** Overrides the priority of the route; null when the team has none. */
  readonly priority: number | null;
}
