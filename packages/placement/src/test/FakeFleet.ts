import type { ReleaseState, Replica, VMId } from '@dandelionlane/core';
import type { PlacementCommand, PlacementInput, VMObservation } from '../index.js';
import createFakeVMs from './createFakeVMs.js';
import FakeRows from './FakeRows.js';
import type FakeVM from './FakeVM.js';
import type FleetSettings from './FleetSettings.js';

/** Every n-th order arrives late. */
const LATE_ORDER_INTERVAL = 7;
const LATE_ORDER_DELAY_MILLISECONDS = 12_000;

interface OrderInFlight {
  readonly arrivesMilliseconds: number;
  readonly vm: FakeVM;
  readonly kind: 'load' | 'unload';
  readonly replica: Replica;
}

/** Simulates a fleet, its weight store and the controller's rows, deterministically and in time steps. */
export default class FakeFleet {
  readonly settings: FleetSettings;

  readonly vms = new Map<VMId, FakeVM>();

  readonly rows: FakeRows;

  now = 0;

  #release: ReleaseState;

  #orders: OrderInFlight[] = [];

  #sent = 0;

  /** Replicas from which each VM was freed. */
  readonly #freed = new Map<FakeVM, Set<Replica['replica']>>();

  constructor(settings: FleetSettings, release: ReleaseState) {
    this.settings = settings;
    this.#release = release;
    for (const vm of createFakeVMs(settings)) this.vms.set(vm.record.vm, vm);
    this.rows = new FakeRows((id) => this.vm(id).record);
    for (const vm of this.vms.values()) vm.report(0);
  }

  get release(): ReleaseState {
    return this.#release;
  }

  changeRelease(change: Partial<ReleaseState>): void {
    this.#release = { ...this.#release, ...change };
  }

  vm(id: VMId): FakeVM {
    const vm = this.vms.get(id);
    if (vm === undefined) throw new Error(`no VM ${id}`);
    return vm;
  }

  /** Advances the clock: delivers orders, runs engines, receives reports. */
  step(milliseconds: number): void {
    this.now += milliseconds;
    this.#deliver();
    let loads = 0;
    for (const vm of this.vms.values()) loads += vm.loadRemaining > 0 ? 1 : 0;
    const loadSpeed = Math.min(1, this.settings.storeStreams / Math.max(1, loads));
    for (const vm of this.vms.values()) {
      vm.advance(this.now, milliseconds, loadSpeed);
      vm.report(this.now);
    }
  }

  observe(): PlacementInput {
    const vms: VMObservation[] = [];
    for (const vm of this.vms.values()) {
      vms.push({
        record: vm.isLeaving ? { ...vm.record, state: 'leaving' } : vm.record,
        report: vm.lastReport,
        unreachableMilliseconds: this.now - vm.lastReportedMilliseconds,
        unlistedMilliseconds: vm.isUnlisted(this.now) ? this.now - vm.unlistedFromMilliseconds : 0,
      });
    }
    return {
      monotonicMilliseconds: this.now,
      release: this.#release,
      vms,
      replicas: [...this.rows.replicas.values()].map(({ replica, sinceMilliseconds }) => (
        { replica, stateMilliseconds: this.now - sinceMilliseconds })),
      allocations: [...this.rows.allocations.values()],
    };
  }

  /** Executes a plan and sends the orders that the rows require. */
  apply(commands: readonly PlacementCommand[]): void {
    for (const command of commands) {
      this.#checkFreed(command);
      this.rows.apply(command, this.now);
      if (command.kind === 'unload') this.#unloadStray(command.vm, command.replica);
    }
    for (const { replica } of this.rows.replicas.values()) this.#sendOrders(replica);
  }

  /** Whether every VM of the replica is up and serves it. */
  isWhole(replica: Replica): boolean {
    return replica.members.every(({ vm: id }) => {
      const vm = this.vm(id);
      return vm.isUp(this.now) && vm.replica === replica.replica && (vm.phase === 'cold' || vm.phase === 'warm');
    });
  }

  isWarm(replica: Replica): boolean {
    return replica.members.every(({ vm }) => this.vm(vm).phase === 'warm');
  }

  #unloadStray(id: VMId, replica: Replica['replica']): void {
    const vm = this.vm(id);
    if (vm.isUp(this.now) && !vm.isCutOff(this.now) && vm.replica === replica) vm.unload();
  }

  /** Invariant: a VM is freed only after its engine has actually stopped running the replica. */
  #checkFreed(command: PlacementCommand): void {
    if (command.kind !== 'remove' && command.kind !== 'free') return;
    const row = this.rows.replicas.get(command.replica)?.replica;
    const members = command.kind === 'free' ? command.members : row?.members.map(({ vm }) => vm) ?? [];
    for (const id of members) {
      const vm = this.vm(id);
      const isAllocated = this.rows.allocations.get(id)?.replica === command.replica;
      if (isAllocated && vm.isUp(this.now) && vm.replica === command.replica) {
        throw new Error(`${id} was freed while it runs ${command.replica}`);
      }
      this.#freed.set(vm, (this.#freed.get(vm) ?? new Set()).add(command.replica));
    }
  }

  #sendOrders(replica: Replica): void {
    if (replica.state === 'serving') return;
    for (const member of replica.members) {
      const vm = this.vm(member.vm);
      const isCarrying = vm.replica === replica.replica;
      if (replica.state === 'draining' && isCarrying) vm.drain(this.now);
      if (replica.state === 'loading' && !isCarrying) this.#send(vm, 'load', replica);
      if (replica.state === 'stopping' && isCarrying) this.#send(vm, 'unload', replica);
    }
  }

  #send(vm: FakeVM, kind: OrderInFlight['kind'], replica: Replica): void {
    this.#sent += 1;
    const isLate = this.#sent % LATE_ORDER_INTERVAL === 0;
    const delay = isLate ? LATE_ORDER_DELAY_MILLISECONDS : this.settings.orderDelayMilliseconds;
    const arrivesMilliseconds = this.now + delay;
    this.#orders.push({
      arrivesMilliseconds, vm, kind, replica,
    });
  }

  #deliver(): void {
    const arrived = this.#orders.filter((order) => order.arrivesMilliseconds <= this.now);
    this.#orders = this.#orders.filter((order) => order.arrivesMilliseconds > this.now);
    for (const { vm, kind, replica } of arrived) {
      if (!vm.isUp(this.now) || vm.isCutOff(this.now)) continue;
      if (kind === 'load' && this.#freed.get(vm)?.has(replica.replica) === true) {
        throw new Error(`${vm.record.vm} received a load order for ${replica.replica} after it was freed`);
      }
      if (kind === 'load') vm.load(replica);
      else if (vm.replica === replica.replica) vm.unload();
    }
  }
}
