import type {
  FabricDomainId, Replica, ServiceDefinition, VMId,
} from '@dandelionlane/core';
import type {
  PlacementCommand, PlacementInput, ReplicaObservation, VMObservation,
} from '../index.js';

const FRESH_MILLISECONDS = 3_000;
const NOTICE_MILLISECONDS = 5_000;
const LOST_DRAIN_MILLISECONDS = 60_000;
const ORDER_EXPIRY_MILLISECONDS = 15_000;

/** Input and commands of one naive plan. */
interface NaiveContext {
  readonly input: PlacementInput;
  readonly vms: ReadonlyMap<VMId, VMObservation>;
  readonly commands: PlacementCommand[];
}

function isUsable({ input }: NaiveContext, vm: VMObservation): boolean {
  return vm.record.state === 'live'
    && vm.report?.leaving === false
    && (vm.unlistedMilliseconds ?? 0) === 0
    && vm.unreachableMilliseconds <= FRESH_MILLISECONDS
    && !input.release.vmsOut.includes(vm.record.vm)
    && !input.release.availabilityZonesOut.includes(vm.record.availabilityZone);
}

function isHealthy(context: NaiveContext, replica: Replica): boolean {
  return replica.members.every(({ vm: id }) => {
    const vm = context.vms.get(id);
    return vm !== undefined && isUsable(context, vm)
      && (replica.state === 'loading' || vm.report?.replica === replica.replica);
  });
}

function isReady(context: NaiveContext, replica: Replica): boolean {
  return replica.members.every(({ vm }) => {
    const report = context.vms.get(vm)?.report;
    return report?.replica === replica.replica && (report.phase === 'cold' || report.phase === 'warm');
  });
}

function hasStopped(context: NaiveContext, replica: Replica): boolean {
  return replica.members.every(({ vm: id }) => {
    const vm = context.vms.get(id);
    const isFresh = vm !== undefined && vm.unreachableMilliseconds <= FRESH_MILLISECONDS;
    return vm === undefined || (vm.unlistedMilliseconds ?? 0) > LOST_DRAIN_MILLISECONDS
      || (isFresh && vm.report?.replica !== replica.replica);
  });
}

function isDrained(context: NaiveContext, { replica, stateMilliseconds }: ReplicaObservation): boolean {
  const isIdle = replica.members.every(({ vm }) => context.vms.get(vm)?.report?.runningRequests === 0);
  return stateMilliseconds >= (isIdle ? NOTICE_MILLISECONDS : LOST_DRAIN_MILLISECONDS);
}

function planReplica(context: NaiveContext, observation: ReplicaObservation, isWanted: boolean): void {
  const { replica: { replica, state } } = observation;
  const isKept = isWanted && isHealthy(context, observation.replica);
  if (state === 'loading' && !isKept) context.commands.push({ kind: 'stop', replica, reason: 'not-wanted' });
  else if (state === 'loading' && isReady(context, observation.replica)) {
    context.commands.push({ kind: 'serve', replica, reason: 'members-ready' });
  }
  if (state === 'serving' && !isKept) context.commands.push({ kind: 'drain', replica, reason: 'surplus' });
  if (state === 'draining' && isDrained(context, observation)) {
    context.commands.push({ kind: 'stop', replica, reason: 'drained' });
  }
  const mayRemove = observation.stateMilliseconds >= ORDER_EXPIRY_MILLISECONDS
    && hasStopped(context, observation.replica);
  if (state === 'stopping' && mayRemove) {
    context.commands.push({ kind: 'remove', replica, reason: 'members-stopped' });
  }
}

function placeFirstFit(
  context: NaiveContext,
  definition: ServiceDefinition,
  free: ReadonlyMap<FabricDomainId, VMId[]>,
): boolean {
  const domain = [...free].find(([, vms]) => vms.length >= definition.vmsPerReplica);
  if (domain === undefined) return false;
  context.commands.push({
    kind: 'place',
    service: definition.service,
    version: definition.version,
    members: domain[1].splice(0, definition.vmsPerReplica),
    reason: 'below-wanted',
  });
  return true;
}

function listFree(context: NaiveContext, isPlain: boolean): Map<FabricDomainId, VMId[]> {
  const allocated = new Set(context.input.allocations.map(({ vm }) => vm));
  const free = new Map<FabricDomainId, VMId[]>();
  for (const vm of context.input.vms) {
    const { vm: id, fabricDomain, accelerators } = vm.record;
    const isFree = isUsable(context, vm) && !allocated.has(id) && vm.report?.replica === null;
    if (isFree && (accelerators === 0) === isPlain) {
      free.set(fabricDomain, [...free.get(fabricDomain) ?? [], id]);
    }
  }
  return free;
}

/**
 * Baseline planner: first fit; replaces a whole replica after any loss; drains first, so that
 * nothing is replaced before its VMs are free; has no limit on loads and no hysteresis.
 */
export default function planNaively(input: PlacementInput): readonly PlacementCommand[] {
  const context: NaiveContext = {
    input, vms: new Map(input.vms.map((vm) => [vm.record.vm, vm])), commands: [],
  };
  const pools = { plain: listFree(context, true), model: listFree(context, false) };
  const seen = new Set<string>();
  for (const { definition } of input.release.services) {
    seen.add(definition.service);
    const own = input.replicas.filter(({ replica }) => replica.service === definition.service);
    own.forEach((observation, index) => {
      const isWanted = index < definition.replicas && observation.replica.version === definition.version;
      planReplica(context, observation, isWanted);
    });
    for (let count = own.length; count < definition.replicas; count += 1) {
      if (!placeFirstFit(context, definition, pools[definition.kind])) break;
    }
  }
  for (const observation of input.replicas) {
    if (!seen.has(observation.replica.service)) planReplica(context, observation, false);
  }
  return context.commands;
}
