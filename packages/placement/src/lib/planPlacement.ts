import type {
  FabricDomainId, ReplicaId, ServiceDefinition, VMId,
} from '@dandelionlane/core';
import DEFAULT_PLACEMENT_LIMITS from './DEFAULT_PLACEMENT_LIMITS.js';
import type PlacementCommand from './PlacementCommand.js';
import type PlacementInput from './PlacementInput.js';
import type PlacementLimits from './PlacementLimits.js';
import type VMObservation from './VMObservation.js';

const byVM = (left: VMObservation, right: VMObservation): number => (
  left.record.vm < right.record.vm ? -1 : 1);

/**
 * Plans the next steps that bring the fleet to what the release wants. Pure: the
 * same input gives the same commands.
 */
export default function planPlacement(
  input: PlacementInput,
  limits: PlacementLimits = DEFAULT_PLACEMENT_LIMITS,
): readonly PlacementCommand[] {
  const { release } = input;
  const vms = new Map<VMId, VMObservation>(input.vms.map((vm) => [vm.record.vm, vm]));
  const allocated = new Set<VMId>(input.allocations.map((allocation) => allocation.vm));
  const commands: PlacementCommand[] = [];

  const isInService = (vm: VMObservation): boolean => vm.record.state === 'live'
    && vm.report?.leaving !== true
    && !release.vmsOut.includes(vm.record.vm)
    && !release.availabilityZonesOut.includes(vm.record.availabilityZone);
  const isGone = (id: VMId): boolean => {
    const vm = vms.get(id);
    return vm === undefined || (vm.unlistedMilliseconds ?? 0) >= limits.unlistedMilliseconds;
  };
  const isFresh = (vm: VMObservation): boolean => vm.report !== null
    && vm.unreachableMilliseconds <= limits.freshMilliseconds;
  const holds = (id: VMId, replica: ReplicaId): boolean => {
    const vm = vms.get(id);
    return vm !== undefined && isFresh(vm) && vm.report?.replica === replica;
  };
  const isReady = (id: VMId, replica: ReplicaId): boolean => holds(id, replica)
    && ['cold', 'warm'].includes(vms.get(id)?.report?.phase ?? 'empty');
  const hasStopped = (id: VMId, replica: ReplicaId): boolean => {
    const vm = vms.get(id);
    return isGone(id) || (vm !== undefined && isFresh(vm) && vm.report?.replica !== replica);
  };

  const definitions = new Map(release.services.map(({ definition }) => [definition.service, definition]));
  const kept = new Map<ServiceDefinition['service'], number>();
  const observations = [...input.replicas].sort((left, right) => (
    left.replica.replica < right.replica.replica ? -1 : 1));
  for (const { replica, stateMilliseconds } of observations) {
    const definition = definitions.get(replica.service);
    const members = replica.members.map((member) => member.vm);
    const count = kept.get(replica.service) ?? 0;
    const isWanted = definition?.version === replica.version
      && count < definition.replicas
      && members.every((id) => {
        const vm = vms.get(id);
        return vm !== undefined && isInService(vm) && vm.unreachableMilliseconds < limits.lostMilliseconds
          && (replica.state !== 'serving' || !hasStopped(id, replica.replica));
      });
    if (isWanted && (replica.state === 'loading' || replica.state === 'serving')) {
      kept.set(replica.service, count + 1);
    }
    const { replica: id, state } = replica;
    switch (state) {
      case 'loading':
        if (!isWanted) {
          commands.push({ kind: 'stop', replica: id, reason: 'not-wanted' });
        } else if (members.every((vm) => isReady(vm, id))) {
          commands.push({ kind: 'serve', replica: id, reason: 'members-ready' });
        }
        break;
      case 'serving':
        if (!isWanted) {
          const reason = definition === undefined ? 'withdrawn' : 'scale-down';
          commands.push({ kind: 'drain', replica: id, reason });
        }
        break;
      case 'draining': {
        const isIdle = members.every((vm) => hasStopped(vm, id)
          || (holds(vm, id) && vms.get(vm)?.report?.runningRequests === 0));
        if (isIdle && stateMilliseconds >= limits.drainNoticeMilliseconds) {
          commands.push({ kind: 'stop', replica: id, reason: 'drained' });
        } else if (stateMilliseconds >= limits.lostDrainMilliseconds
          && members.some((vm) => !holds(vm, id))) {
          commands.push({ kind: 'stop', replica: id, reason: 'drain-limit' });
        }
        break;
      }
      case 'stopping':
        if (members.every((vm) => hasStopped(vm, id))) {
          commands.push({ kind: 'remove', replica: id, reason: 'members-stopped' });
        }
        break;
      default:
        state satisfies never;
    }
  }

  const freeByDomain = new Map<FabricDomainId, VMObservation[]>();
  for (const vm of [...input.vms].sort(byVM)) {
    if (isInService(vm) && isFresh(vm) && !isGone(vm.record.vm) && !allocated.has(vm.record.vm)
      && vm.report?.replica === null) {
      const domain = vm.record.fabricDomain;
      freeByDomain.set(domain, [...(freeByDomain.get(domain) ?? []), vm]);
    }
  }
  for (const definition of definitions.values()) {
    const fits = (vm: VMObservation): boolean => (definition.kind === 'plain'
      ? vm.record.accelerators === 0
      : vm.record.accelerators >= definition.acceleratorsPerVM);
    for (let count = kept.get(definition.service) ?? 0; count < definition.replicas; count += 1) {
      const [domain, free] = [...freeByDomain]
        .filter(([, candidates]) => candidates.filter(fits).length >= definition.vmsPerReplica)
        .sort((left, right) => left[1].length - right[1].length)[0] ?? [undefined, []];
      if (domain === undefined) break;
      const members = free.filter(fits).slice(0, definition.vmsPerReplica);
      freeByDomain.set(domain, free.filter((vm) => !members.includes(vm)));
      commands.push({
        kind: 'place',
        service: definition.service,
        version: definition.version,
        members: members.map((vm) => vm.record.vm),
        reason: 'below-wanted',
      });
    }
  }
  return commands;
}
