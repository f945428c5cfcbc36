import type { Replica, ReplicaState, ServiceDefinition } from '@dandelionlane/core';
import type DrainReason from './DrainReason.js';
import type FleetSnapshot from './FleetSnapshot.js';
import type MemberCondition from './MemberCondition.js';
import type ReplicaObservation from './ReplicaObservation.js';
import type ReplicaView from './ReplicaView.js';

function findOutOfServiceReason(replica: Replica, fleet: FleetSnapshot): DrainReason | null {
  for (const { vm } of replica.members) {
    const observation = fleet.observation(vm);
    const reason = observation === undefined ? null : fleet.outOfServiceReason(observation);
    if (reason !== null) return reason;
  }
  return null;
}

function isOutdated(replica: Replica, definition: ServiceDefinition | null, fleet: FleetSnapshot): boolean {
  if (definition === null) return true;
  if (definition.version !== replica.version) return true;
  if (definition.vmsPerReplica !== replica.members.length) return true;
  return replica.members.some(({ vm }) => {
    const accelerators = fleet.observation(vm)?.record.accelerators;
    return accelerators !== undefined && accelerators < definition.acceleratorsPerVM;
  });
}

/** A member of a loading replica may not have executed its order yet, so it is missing only if lost. */
function isMissing(condition: MemberCondition, state: ReplicaState): boolean {
  switch (condition) {
    case 'holding':
    case 'silent':
      return false;
    case 'lost':
    case 'gone':
      return true;
    case 'empty':
    case 'astray':
      return state !== 'loading';
    default:
      return condition satisfies never;
  }
}

/** Evaluates the state of one replica. */
export default function createReplicaView(
  { replica, stateMilliseconds }: ReplicaObservation,
  definition: ServiceDefinition | null,
  fleet: FleetSnapshot,
): ReplicaView {
  const conditions = replica.members.map(({ vm }) => fleet.condition(vm, replica.replica));
  const phases = replica.members.map(({ vm }, index) => (
    conditions[index] === 'holding' ? fleet.observation(vm)?.report?.phase : undefined));
  const isRunning = replica.members.some(({ vm }, index) => {
    const report = fleet.observation(vm)?.report;
    switch (conditions[index]) {
      case 'holding':
        return report === undefined || report === null
          || report.runningRequests > 0 || report.waitingRequests > 0;
      case 'silent':
      case 'lost':
        return true;
      default:
        return false;
    }
  });
  const [{ availabilityZone, fabricDomain }] = replica.members as [Replica['members'][number]];
  return {
    replica,
    stateMilliseconds,
    availabilityZone,
    fabricDomain,
    conditions,
    outOfServiceReason: findOutOfServiceReason(replica, fleet),
    isOutdated: isOutdated(replica, definition, fleet),
    isBroken: conditions.some((condition) => isMissing(condition, replica.state)),
    isReady: phases.every((phase) => phase === 'cold' || phase === 'warm'),
    isWarm: phases.every((phase) => phase === 'warm')
      || stateMilliseconds >= fleet.limits.warmUpMilliseconds,
    isIdle: !isRunning,
  };
}
