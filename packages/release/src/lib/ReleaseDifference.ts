import type { ServiceDefinition, ServiceId, TeamId } from '@dandelionlane/core';
import type FieldDifference from './FieldDifference.js';

/** A change that a release note would make to the state. */
type ReleaseDifference = | { readonly kind: 'service-added'; readonly definition: ServiceDefinition }
  | {
    readonly kind: 'service-changed';
    readonly service: ServiceId;
    readonly fields: readonly FieldDifference[];
  }
  | { readonly kind: 'service-withdrawn'; readonly service: ServiceId }
  | {
    readonly kind: 'team-weight-changed';
    readonly team: TeamId;
    /** Undefined: the team has the default weight. */
    readonly before: number | undefined;
    readonly after: number;
  };

export default ReleaseDifference;
