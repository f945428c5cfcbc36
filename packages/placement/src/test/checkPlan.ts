import type { VMId } from '@dandelionlane/core';
import {
  DEFAULT_PLACEMENT_LIMITS, type PlacementCommand, type PlacementInput, type VMObservation,
} from '../index.js';

function check(condition: boolean, message: string): asserts condition {
  if (!condition) throw new Error(message);
}

function checkNoConflicts(commands: readonly PlacementCommand[]): void {
  const replicas = new Set<string>();
  const vms = new Set<VMId>();
  for (const command of commands) {
    if ('replica' in command && command.kind !== 'unload') {
      check(!replicas.has(command.replica), `two commands change ${command.replica}`);
      replicas.add(command.replica);
    }
    if (command.kind === 'place' || command.kind === 'rebuild') {
      for (const vm of command.members) {
        check(!vms.has(vm), `two commands use ${vm}`);
        vms.add(vm);
      }
    }
  }
}

function isSchedulable(vm: VMObservation, input: PlacementInput): boolean {
  const { record, report, unlistedMilliseconds } = vm;
  return record.state === 'live'
    && (unlistedMilliseconds ?? 0) === 0
    && report?.leaving === false
    && !input.release.vmsOut.includes(record.vm)
    && !input.release.availabilityZonesOut.includes(record.availabilityZone);
}

function checkMembers(command: PlacementCommand, input: PlacementInput, vms: Map<VMId, VMObservation>): void {
  if (command.kind !== 'place' && command.kind !== 'rebuild') return;
  const service = command.kind === 'place'
    ? command.service
    : input.replicas.find(({ replica }) => replica.replica === command.replica)?.replica.service;
  const definition = input.release.services.find((item) => item.definition.service === service)?.definition;
  check(definition !== undefined, 'placed a service that is not in the release');
  check(command.version === definition.version, 'placed a version other than the wanted one');
  check(command.members.length === definition.vmsPerReplica, 'wrong number of members');
  const members = command.members.map((vm) => vms.get(vm));
  check(members.every((vm) => vm !== undefined && isSchedulable(vm, input)), 'a member is out of service');
  check(new Set(members.map((vm) => vm?.record.fabricDomain)).size === 1, 'members are in different fabric domains');
  const isFitting = members.every((vm) => (definition.kind === 'plain'
    ? vm?.record.accelerators === 0
    : (vm?.record.accelerators ?? 0) >= definition.acceleratorsPerVM));
  check(isFitting, 'a member lacks the required accelerators');
}

/** A draining replica stops only after the drain notice and when no VM that still exists runs a request. */
function checkStop(command: PlacementCommand, input: PlacementInput, vms: Map<VMId, VMObservation>): void {
  if (command.kind !== 'stop') return;
  const row = input.replicas.find(({ replica }) => replica.replica === command.replica);
  check(row !== undefined, 'stopped an unknown replica');
  if (row.replica.state !== 'draining') return;
  const isRunning = row.replica.members.some(({ vm }) => {
    const observation = vms.get(vm);
    const isGone = (observation?.unlistedMilliseconds ?? 0) >= DEFAULT_PLACEMENT_LIMITS.unlistedMilliseconds;
    const report = observation?.report;
    return !isGone && report?.replica === command.replica && report.runningRequests > 0;
  });
  const isOverLimit = row.stateMilliseconds >= DEFAULT_PLACEMENT_LIMITS.lostDrainMilliseconds;
  check(row.stateMilliseconds >= DEFAULT_PLACEMENT_LIMITS.drainNoticeMilliseconds, 'stopped before the drain notice has passed');
  check(!isRunning || (isOverLimit && command.reason === 'drain-limit'), 'stopped while a request runs');
}

/** Throws when a plan violates an invariant that holds for every plan. */
export default function checkPlan(input: PlacementInput, commands: readonly PlacementCommand[]): void {
  const vms = new Map(input.vms.map((vm) => [vm.record.vm, vm]));
  checkNoConflicts(commands);
  for (const command of commands) {
    checkMembers(command, input, vms);
    checkStop(command, input, vms);
  }
}
