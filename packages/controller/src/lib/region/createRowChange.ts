import { err, ok, type Result } from 'neverthrow';
import {
  ServingError,
  type Allocation, type Replica, type ReplicaId, type ReplicaMember, type ReplicaState,
  type ServiceId, type ServicePlacement, type VMId, type VMRecord,
} from '@dandelionlane/core';
import type RegionRows from './RegionRows.js';
import type ReplicaFactory from './ReplicaFactory.js';
import type RowChange from './RowChange.js';
import type RowCommand from './RowCommand.js';

/** Input of `createRowChange`. */
interface ChangeContext {
  readonly rows: RegionRows;
  readonly vms: ReadonlyMap<VMId, VMRecord>;
  readonly factory: ReplicaFactory;
}

type ChangeResult = Result<RowChange, ServingError>;

function internalError(message: string): ServingError {
  return new ServingError(message, { kind: 'internal' });
}

function findReplica(rows: RegionRows, replica: ReplicaId): Replica | undefined {
  return [...rows.placements.values()]
    .flatMap(({ placement }) => placement.replicas)
    .find((candidate) => candidate.replica === replica);
}

function placementOf(rows: RegionRows, service: ServiceId): ServicePlacement {
  return rows.placements.get(service)?.placement ?? { service, replicas: [] };
}

function membersFor(
  context: ChangeContext,
  vms: readonly VMId[],
): Result<readonly ReplicaMember[], ServingError> {
  const records = vms.map((vm) => context.vms.get(vm));
  const members = records
    .filter((record) => record !== undefined)
    .map(({
      vm, address, availabilityZone, fabricDomain,
    }) => ({
      vm, address, availabilityZone, fabricDomain,
    }));
  return members.length === vms.length ? ok(members) : err(internalError('a member VM is not tracked'));
}

function allocationsOf(replica: Replica): readonly Allocation[] {
  return replica.members.map(({ vm }) => ({
    vm, replica: replica.replica, service: replica.service, fencing: replica.fencing,
  }));
}

function place(
  context: ChangeContext,
  service: ServiceId,
  version: string,
  vms: readonly VMId[],
): ChangeResult {
  return membersFor(context, vms).map((members) => {
    const replica = context.factory.create(service, version, members);
    const placement = placementOf(context.rows, service);
    return {
      placement: { service, replicas: [...placement.replicas, replica] },
      allocate: allocationsOf(replica),
      free: [],
    };
  });
}

/**
 * Members that the new replica does not reuse stay allocated to the old one, which remains in
 * `stopping` until they are known to have stopped.
 */
function rebuild(context: ChangeContext, old: Replica, version: string, vms: readonly VMId[]): ChangeResult {
  return membersFor(context, vms).map((members) => {
    const replica = context.factory.create(old.service, version, members);
    const left = old.members.filter(({ vm }) => !vms.includes(vm));
    const stopping: readonly Replica[] = left.length === 0
      ? []
      : [{
        ...old, state: 'stopping', members: left, grants: [], fencing: context.factory.nextFencing(),
      }];
    const others = placementOf(context.rows, old.service).replicas
      .filter((candidate) => candidate.replica !== old.replica);
    return {
      placement: { service: old.service, replicas: [...others, ...stopping, replica] },
      allocate: allocationsOf(replica),
      free: [],
    };
  });
}

function changeState(context: ChangeContext, old: Replica, state: ReplicaState): RowChange {
  const changed: Replica = {
    ...old,
    state,
    // Only `stopping` needs a fencing number for its orders; the grants of a stopped replica are void.
    ...(state === 'stopping' ? { fencing: context.factory.nextFencing(), grants: [] } : {}),
  };
  const placement = placementOf(context.rows, old.service);
  return {
    placement: {
      service: old.service,
      replicas: placement.replicas.map((each) => (each.replica === old.replica ? changed : each)),
    },
    allocate: [],
    free: [],
  };
}

/** Removes members from a replica and frees those allocated to it. Deletes a replica without members. */
function free(context: ChangeContext, old: Replica, freed: readonly VMId[]): RowChange {
  const placement = placementOf(context.rows, old.service);
  const left = old.members.filter(({ vm }) => !freed.includes(vm));
  return {
    placement: {
      service: old.service,
      replicas: placement.replicas.flatMap((each) => {
        if (each.replica !== old.replica) {
          return [each];
        }
        return left.length === 0 ? [] : [{ ...old, members: left }];
      }),
    },
    allocate: [],
    free: freed.filter((vm) => context.rows.allocations.get(vm)?.allocation.replica === old.replica),
  };
}

/** Computes the row change of one command. Pure except for allocating fencing numbers. */
export default function createRowChange(command: RowCommand, context: ChangeContext): ChangeResult {
  if (command.kind === 'place') {
    return place(context, command.service, command.version, command.members);
  }
  const old = findReplica(context.rows, command.replica);
  if (old === undefined) {
    return err(internalError(`replica ${command.replica} has no placement row`));
  }
  switch (command.kind) {
    case 'rebuild':
      return rebuild(context, old, command.version, command.members);
    case 'serve':
      return ok(changeState(context, old, 'serving'));
    case 'drain':
      return ok(changeState(context, old, 'draining'));
    case 'stop':
      return ok(changeState(context, old, 'stopping'));
    case 'remove':
      return ok(free(context, old, old.members.map(({ vm }) => vm)));
    case 'free':
      return ok(free(context, old, command.members));
    default:
      return command satisfies never;
  }
}
