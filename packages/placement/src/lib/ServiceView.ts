import type { ServiceDefinition, ServiceId } from '@dandelionlane/core';
import type ReplicaView from './ReplicaView.js';

/** A service's replicas, categorized by how a plan treats them. Each replica is in exactly one list. */
export default interface ServiceView {
  readonly service: ServiceId;
  /** Null when the service is not wanted any more. */
  readonly definition: ServiceDefinition | null;
  readonly wanted: number;
  /** Serving the wanted version, in service and not broken. */
  readonly serving: ReplicaView[];
  /** Loading the wanted version, in service and not broken. */
  readonly loading: ReplicaView[];
  /** Serving another version or shape, in service and not broken. */
  readonly outdated: ReplicaView[];
  /** Serving or loading the wanted version, in service, with a member missing. */
  readonly broken: ReplicaView[];
  /** Serving or loading, unneeded: out of service, not wanted, loading too long, or outdated beyond use. */
  readonly unwanted: ReplicaView[];
  readonly draining: ReplicaView[];
  readonly stopping: ReplicaView[];
}
