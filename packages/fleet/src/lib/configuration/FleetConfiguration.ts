import type { ServiceId } from '@dandelionlane/core';
import type CallerLimits from './CallerLimits.js';
import type Route from './Route.js';
import type ServiceProfile from './ServiceProfile.js';
import type Team from './Team.js';

/** One complete version of the operators' configuration. */
export default interface FleetConfiguration {
  /** Increases with every version, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, ServiceProfile>;
  readonly teams: readonly Team[];
  readonly limits: CallerLimits;
}
