import type { ServiceDefinition, ServiceId } from '@dandelionlane/core';
import createReplicaView from './createReplicaView.js';
import type FleetSnapshot from './FleetSnapshot.js';
import type PlacementInput from './PlacementInput.js';
import type ReplicaView from './ReplicaView.js';
import type ServiceView from './ServiceView.js';

function createEmptyView(service: ServiceId, definition: ServiceDefinition | null): ServiceView {
  return {
    service,
    definition,
    wanted: definition?.replicas ?? 0,
    serving: [],
    loading: [],
    outdated: [],
    broken: [],
    unwanted: [],
    draining: [],
    stopping: [],
  };
}

function listOfServing(view: ServiceView, replica: ReplicaView): ReplicaView[] {
  if (view.wanted === 0 || replica.outOfServiceReason !== null) return view.unwanted;
  if (replica.isOutdated) return replica.isBroken ? view.unwanted : view.outdated;
  return replica.isBroken ? view.broken : view.serving;
}

function listOfLoading(view: ServiceView, replica: ReplicaView, limitMilliseconds: number): ReplicaView[] {
  if (view.wanted === 0 || replica.outOfServiceReason !== null || replica.isOutdated) return view.unwanted;
  if (replica.stateMilliseconds >= limitMilliseconds) return view.unwanted;
  return replica.isBroken ? view.broken : view.loading;
}

function listOf(view: ServiceView, replica: ReplicaView, limitMilliseconds: number): ReplicaView[] {
  const { state } = replica.replica;
  switch (state) {
    case 'loading':
      return listOfLoading(view, replica, limitMilliseconds);
    case 'serving':
      return listOfServing(view, replica);
    case 'draining':
      return view.draining;
    case 'stopping':
      return view.stopping;
    default:
      return state satisfies never;
  }
}

/** Groups the replicas by service, in the order of the services' ids. */
export default function createServiceViews(
  input: PlacementInput,
  fleet: FleetSnapshot,
): readonly ServiceView[] {
  const views = new Map<ServiceId, ServiceView>();
  for (const { definition } of input.release.services) {
    views.set(definition.service, createEmptyView(definition.service, definition));
  }
  for (const observation of input.replicas) {
    const { service } = observation.replica;
    const view = views.get(service) ?? createEmptyView(service, null);
    views.set(service, view);
    const replica = createReplicaView(observation, view.definition, fleet);
    listOf(view, replica, fleet.limits.loadLimitMilliseconds).push(replica);
  }
  return [...views.values()].sort((left, right) => (left.service < right.service ? -1 : 1));
}
