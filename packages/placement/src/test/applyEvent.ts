import { ReplicaId, type ServiceDefinition } from '@dandelionlane/core';
import type FakeFleet from './FakeFleet.js';
import type FakeVM from './FakeVM.js';
import type FleetEvent from './FleetEvent.js';

const MILLISECONDS_PER_SECOND = 1_000;

function pickFrom<Item>(items: readonly Item[], pick: number): Item {
  return items[pick % items.length] as Item;
}

function editService(fleet: FakeFleet, pick: number, change: Partial<ServiceDefinition>): void {
  const { services } = fleet.release;
  if (services.length === 0) return;
  const target = pickFrom(services, pick);
  const edited = { ...target, definition: { ...target.definition, ...change } as ServiceDefinition };
  fleet.changeRelease({ services: services.map((item) => (item === target ? edited : item)) });
}

function changeZone(fleet: FakeFleet, vm: FakeVM, isOut: boolean): void {
  const zone = vm.record.availabilityZone;
  const others = fleet.release.availabilityZonesOut.filter((other) => other !== zone);
  fleet.changeRelease({ availabilityZonesOut: isOut ? [...others, zone] : others });
}

function strayLoad(vm: FakeVM, fleet: FakeFleet): void {
  const [row] = fleet.rows.replicas.values();
  if (row === undefined || !vm.isUp(fleet.now)) return;
  vm.load({ ...row.replica, replica: ReplicaId.parse('replica-stray') });
}

function crashDomain(fleet: FakeFleet, vm: FakeVM, milliseconds: number): void {
  for (const other of fleet.vms.values()) {
    if (other.record.fabricDomain === vm.record.fabricDomain) other.crash(fleet.now, milliseconds);
  }
}

/** Applies one event to the fleet. */
export default function applyEvent(fleet: FakeFleet, event: FleetEvent): void {
  if (event.kind === 'wait') return;
  const vm = pickFrom([...fleet.vms.values()], event.pick);
  const milliseconds = 'seconds' in event ? event.seconds * MILLISECONDS_PER_SECOND : 0;
  switch (event.kind) {
    case 'crash':
      vm.crash(fleet.now, milliseconds);
      break;
    case 'lose':
      vm.crash(fleet.now, Infinity);
      break;
    case 'silence':
      if (vm.silentUntilMilliseconds < fleet.now) vm.silentUntilMilliseconds = fleet.now + milliseconds;
      break;
    case 'cut-off':
      vm.cutOffUntilMilliseconds = fleet.now + milliseconds;
      break;
    case 'unlist':
      vm.unlist(fleet.now, milliseconds);
      break;
    case 'leave':
      vm.isLeaving = true;
      break;
    case 'stray':
      strayLoad(vm, fleet);
      break;
    case 'domain-crash':
      crashDomain(fleet, vm, milliseconds);
      break;
    case 'zone-out':
    case 'zone-in':
      changeZone(fleet, vm, event.kind === 'zone-out');
      break;
    case 'vm-out':
      fleet.changeRelease({ vmsOut: [...fleet.release.vmsOut, vm.record.vm] });
      break;
    case 'scale':
      editService(fleet, event.pick, { replicas: event.replicas });
      break;
    case 'version':
      editService(fleet, event.pick, { version: event.version });
      break;
    case 'withdraw':
      fleet.changeRelease({ services: fleet.release.services.slice(1) });
      break;
    default:
      event satisfies never;
  }
}
