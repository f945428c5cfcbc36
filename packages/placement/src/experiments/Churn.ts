import type { RandomSource } from '@dandelionlane/core';
import type FakeFleet from '../test/FakeFleet.js';
import type FakeVM from '../test/FakeVM.js';

const SECONDS_PER_DAY = 86_400;
/** Daily VM failures and restarts of the design-size fleet, and its number of VMs. */
const FAILURES_PER_DAY = 190;
const RESTARTS_PER_DAY = 1_200;
const DESIGN_VMS = 12_000;
const FAILURE_MILLISECONDS = 1_800_000;
const RESTART_NOTICE_MILLISECONDS = 120_000;
const RESTART_MILLISECONDS = 120_000;

/** Fails and restarts random VMs at the rates of the design-size fleet, scaled to the fleet's size. */
export default class Churn {
  readonly #random: RandomSource;

  #pendingRestarts: { readonly vm: FakeVM; readonly atMilliseconds: number }[] = [];

  failures = 0;

  restarts = 0;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  step(fleet: FakeFleet, seconds: number): void {
    const vms = [...fleet.vms.values()];
    const scale = (vms.length / DESIGN_VMS) * (seconds / SECONDS_PER_DAY);
    if (this.#random.next() < FAILURES_PER_DAY * scale) this.#fail(fleet, vms);
    if (this.#random.next() < RESTARTS_PER_DAY * scale) this.#announceRestart(fleet, vms);
    this.#restartDue(fleet);
  }

  #pick(vms: readonly FakeVM[]): FakeVM | undefined {
    return vms[Math.floor(this.#random.next() * vms.length)];
  }

  #fail(fleet: FakeFleet, vms: readonly FakeVM[]): void {
    const vm = this.#pick(vms);
    if (vm === undefined || !vm.isUp(fleet.now)) return;
    vm.crash(fleet.now, FAILURE_MILLISECONDS);
    this.failures += 1;
  }

  #announceRestart(fleet: FakeFleet, vms: readonly FakeVM[]): void {
    const vm = this.#pick(vms);
    if (vm === undefined || !vm.isUp(fleet.now) || vm.isLeaving) return;
    vm.isLeaving = true;
    this.#pendingRestarts.push({ vm, atMilliseconds: fleet.now + RESTART_NOTICE_MILLISECONDS });
    this.restarts += 1;
  }

  #restartDue(fleet: FakeFleet): void {
    for (const { vm, atMilliseconds } of this.#pendingRestarts) {
      if (atMilliseconds <= fleet.now) {
        vm.isLeaving = false;
        if (vm.isUp(fleet.now)) vm.crash(fleet.now, RESTART_MILLISECONDS);
      }
    }
    this.#pendingRestarts = this.#pendingRestarts.filter(({ atMilliseconds }) => atMilliseconds > fleet.now);
  }
}
