import type { TeamId } from '@dandelionlane/core';

/** A team and the API keys that name it. */
export default interface Team {
  readonly id: TeamId;
  readonly apiKeys: readonly string[];
  /** Goes before the priority of the route; null where the team has none. */
  readonly priority: number | null;
}
