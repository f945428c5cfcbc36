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

function selectServingList(view: ServiceView, replica: ReplicaView): ReplicaView[] {
  if (view.wanted === 0 || replica.outOfServiceReason !== null) return view.unwanted;
  if (replica.isOutdated) return replica.isBroken ? view.unwanted : view.outdated;
  return replica.isBroken ? view.broken : view.serving;
}

function selectLoadingList(
  view: ServiceView,
  replica: ReplicaView,
  limitMilliseconds: number,
): ReplicaView[] {
  if (view.wanted === 0 || replica.outOfServiceReason !== null || replica.isOutdated) return view.unwanted;
  if (replica.stateMilliseconds >= limitMilliseconds) return view.unwanted;
  return replica.isBroken ? view.broken : view.loading;
}

function selectList(view: ServiceView, replica: ReplicaView, limitMilliseconds: number): ReplicaView[] {
  const { state } = replica.replica;
  switch (state) {
    case 'loading':
      return selectLoadingList(view, replica, limitMilliseconds);
    case 'serving':
      return selectServingList(view, replica);
    case 'draining':
      return view.draining;
    case 'stopping':
      return view.stopping;
    default:
      return state satisfies never;
  }
}

/** Groups the replicas by service, ordered by service id. */
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
    selectList(view, replica, fleet.limits.loadLimitMilliseconds).push(replica);
  }
  return [...views.values()].sort((left, right) => (left.service < right.service ? -1 : 1));
}
