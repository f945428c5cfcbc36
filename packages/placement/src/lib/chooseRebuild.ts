import type { ServiceId, VMId } from '@dandelionlane/core';
import type FleetSnapshot from './FleetSnapshot.js';
import fitsShape from './fitsShape.js';
import type FreePool from './FreePool.js';
import hasWeights from './hasWeights.js';
import type ReplicaShape from './ReplicaShape.js';
import type ReplicaView from './ReplicaView.js';
import type VMObservation from './VMObservation.js';

/** Members of a rebuilt replica. */
interface Rebuild {
  readonly members: readonly VMId[];
  /** Members taken from the free pool. */
  readonly spares: readonly VMObservation[];
  /** Number of members that must load weights from the store. */
  readonly loads: number;
}

/** Members that can be reused: in service, fitting, and known to be alive. Null at the others' indexes. */
function findReusable(
  view: ReplicaView,
  shape: ReplicaShape,
  fleet: FleetSnapshot,
): readonly (VMObservation | null)[] {
  return view.replica.members.map(({ vm }, index) => {
    const condition = view.conditions[index];
    const observation = fleet.observation(vm);
    if (observation === undefined || (condition !== 'holding' && condition !== 'empty')) return null;
    const isUsable = (condition === 'holding' || observation.report?.phase === 'empty')
      && fleet.outOfServiceReason(observation) === null
      && (observation.unlistedMilliseconds ?? 0) === 0
      && fitsShape(observation, shape);
    return isUsable ? observation : null;
  });
}

/**
 * Replaces restarted members by free VMs, as many as there are, if other members keep the
 * replica's weights. A restarted member may restart again, and its weights are lost either way.
 */
function dropRestarted(
  reusable: readonly (VMObservation | null)[],
  view: ReplicaView,
  free: number,
): readonly (VMObservation | null)[] {
  if (view.replica.state === 'loading' || !view.conditions.includes('holding')) return reusable;
  let sparesLeft = free - reusable.filter((vm) => vm === null).length;
  return reusable.map((vm, index) => {
    if (vm === null || view.conditions[index] !== 'empty' || sparesLeft <= 0) return vm;
    sparesLeft -= 1;
    return null;
  });
}

function countLoads(members: readonly VMObservation[], service: ServiceId, version: string): number {
  return members.filter((vm) => !hasWeights(vm, service, version)).length;
}

/**
 * Replaces missing members by free VMs of the same fabric domain. Null when there are too few,
 * when no member would be reused, or while a member has not been silent for long enough to
 * count as lost.
 */
export default function chooseRebuild(
  view: ReplicaView,
  shape: ReplicaShape,
  pool: FreePool,
  fleet: FleetSnapshot,
): Rebuild | null {
  if (view.conditions.includes('silent')) return null;
  if (view.replica.members.length !== shape.vmsPerReplica) return null;
  const reusable = findReusable(view, shape, fleet);
  if (reusable.every((vm) => vm === null)) return null;
  const free = pool.fittingVMs(view.fabricDomain, shape);
  const kept = dropRestarted(reusable, view, free.length);
  const spares = free.slice(0, kept.filter((vm) => vm === null).length);
  const unused = [...spares];
  const members = kept.map((vm) => vm ?? unused.shift()).filter((vm) => vm !== undefined);
  if (members.length < shape.vmsPerReplica) return null;
  return {
    members: members.map((vm) => vm.record.vm),
    spares,
    loads: shape.kind === 'plain' ? 0 : countLoads(members, shape.service, shape.version),
  };
}
