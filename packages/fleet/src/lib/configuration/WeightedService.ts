import type { ServiceId } from '@dandelionlane/core';

/** One of the services among which a route splits its requests. */
export default interface WeightedService {
  readonly service: ServiceId;
  /** Share relative to the other services of the route. */
  readonly weight: number;
}
