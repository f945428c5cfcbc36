import type { VMId } from '@dandelionlane/core';
import {
  DEFAULT_PLACEMENT_LIMITS, type PlacementCommand, type PlacementInput, type VMObservation,
} from '../index.js';

function check(condition: boolean, message: string): asserts condition {
  if (!condition) throw new Error(message);
}

function checkNoClash(commands: readonly PlacementCommand[]): void {
  const replicas = new Set<string>();
  const vms = new Set<VMId>();
  for (const command of commands) {
    if ('replica' in command && command.kind !== 'unload') {
      check(!replicas.has(command.replica), `two commands change ${command.replica}`);
      replicas.add(command.replica);
    }
    if (command.kind === 'place' || command.kind === 'rebuild') {
      for (const vm of command.members) {
        check(!vms.has(vm), `two commands take ${vm}`);
        vms.add(vm);
      }
    }
  }
}

function mayTakeWork(vm: VMObservation, input: PlacementInput): boolean {
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
  check(definition !== undefined, 'placed a service that nobody wants');
  check(command.version === definition.version, 'placed another version');
  check(command.members.length === definition.vmsPerReplica, 'wrong number of members');
  const members = command.members.map((vm) => vms.get(vm));
  check(members.every((vm) => vm !== undefined && mayTakeWork(vm, input)), 'a member may take no work');
  check(new Set(members.map((vm) => vm?.record.fabricDomain)).size === 1, 'members of two fabric domains');
  const isFitting = members.every((vm) => (definition.kind === 'plain'
    ? vm?.record.accelerators === 0
    : (vm?.record.accelerators ?? 0) >= definition.acceleratorsPerVM));
  check(isFitting, 'a member has the wrong accelerators');
}

/** A drained replica stops only after the notice, and with no request running on a VM that is not gone. */
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
  check(row.stateMilliseconds >= DEFAULT_PLACEMENT_LIMITS.drainNoticeMilliseconds, 'stopped without notice');
  check(!isRunning || (isOverLimit && command.reason === 'drain-limit'), 'cut a running request');
}

/** Throws when a plan breaks a rule that must hold of every plan. */
export default function checkPlan(input: PlacementInput, commands: readonly PlacementCommand[]): void {
  const vms = new Map(input.vms.map((vm) => [vm.record.vm, vm]));
  checkNoClash(commands);
  for (const command of commands) {
    checkMembers(command, input, vms);
    checkStop(command, input, vms);
  }
}
