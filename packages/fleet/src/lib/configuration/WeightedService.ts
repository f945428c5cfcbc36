import type { ServiceId } from '@dandelionlane/core';

/** One of the services that a route splits its requests over. */
export default interface WeightedService {
  readonly service: ServiceId;
  /** Share relative to the other services of the route. */
  readonly weight: number;
}
