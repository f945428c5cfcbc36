import {
  FencingNumber, ReplicaId, type Allocation, type Replica, type ReplicaState, type ServiceId, type VMId,
  type VMRecord,
} from '@dandelionlane/core';
import type { PlacementCommand } from '../index.js';

/** A replica's row and the time of its last change of state. */
interface Row {
  replica: Replica;
  sinceMilliseconds: number;
}

const FENCING = FencingNumber.parse(1);

function check(condition: boolean, message: string): asserts condition {
  if (!condition) throw new Error(message);
}

/** Placement and allocation rows as the controller keeps them. Throws on commands that violate invariants. */
export default class FakeRows {
  readonly replicas = new Map<ReplicaId, Row>();

  readonly allocations = new Map<VMId, Allocation>();

  #nextId = 1;

  constructor(private readonly recordOf: (vm: VMId) => VMRecord) {}

  apply(command: PlacementCommand, now: number): void {
    switch (command.kind) {
      case 'place':
        this.#create(command.service, command.version, command.members, now);
        break;
      case 'rebuild':
        this.#rebuild(command.replica, command.version, command.members, now);
        break;
      case 'serve':
        this.#change(command.replica, ['loading'], 'serving', now);
        break;
      case 'drain':
        this.#change(command.replica, ['serving'], 'draining', now);
        break;
      case 'stop':
        this.#change(command.replica, ['loading', 'draining'], 'stopping', now);
        break;
      case 'free':
        this.#free(command.replica, command.members);
        break;
      case 'remove':
        this.#free(command.replica, this.#row(command.replica).replica.members.map(({ vm }) => vm));
        break;
      case 'unload':
        check(this.allocations.get(command.vm)?.replica !== command.replica, 'unload of an allocated replica');
        break;
      default:
        command satisfies never;
    }
  }

  #row(replica: ReplicaId): Row {
    const row = this.replicas.get(replica);
    check(row !== undefined, `no replica ${replica}`);
    return row;
  }

  #change(id: ReplicaId, from: readonly ReplicaState[], to: ReplicaState, now: number): void {
    const row = this.#row(id);
    check(from.includes(row.replica.state), `${row.replica.state} to ${to}`);
    row.replica = { ...row.replica, state: to };
    row.sinceMilliseconds = now;
  }

  #create(service: ServiceId, version: string, members: readonly VMId[], now: number): void {
    const replica = ReplicaId.parse(`replica-${String(this.#nextId).padStart(6, '0')}`);
    this.#nextId += 1;
    for (const vm of members) {
      check(!this.allocations.has(vm), `${vm} is in two replicas`);
      this.allocations.set(vm, {
        vm, replica, service, fencing: FENCING,
      });
    }
    const row: Replica = {
      replica,
      service,
      version,
      state: 'loading',
      fencing: FENCING,
      members: members.map((vm) => this.recordOf(vm)),
      grants: [],
    };
    this.replicas.set(replica, { replica: row, sinceMilliseconds: now });
  }

  #rebuild(id: ReplicaId, version: string, members: readonly VMId[], now: number): void {
    const row = this.#row(id);
    check(row.replica.state !== 'stopping', 'rebuild of a stopping replica');
    const left = row.replica.members.filter(({ vm }) => !members.includes(vm));
    for (const { vm } of row.replica.members) {
      if (members.includes(vm)) this.allocations.delete(vm);
    }
    if (left.length === 0) {
      this.replicas.delete(id);
    } else {
      row.replica = { ...row.replica, members: left, state: 'stopping' };
      row.sinceMilliseconds = now;
    }
    this.#create(row.replica.service, version, members, now);
  }

  #free(id: ReplicaId, members: readonly VMId[]): void {
    const row = this.#row(id);
    check(row.replica.state === 'stopping', 'freed a replica that is not stopping');
    for (const vm of members) {
      if (this.allocations.get(vm)?.replica === id) this.allocations.delete(vm);
    }
    const left = row.replica.members.filter(({ vm }) => !members.includes(vm));
    if (left.length === 0) this.replicas.delete(id);
    else row.replica = { ...row.replica, members: left };
  }
}
