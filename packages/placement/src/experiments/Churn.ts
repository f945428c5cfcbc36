import type { RandomSource } from '@dandelionlane/core';
import type FakeFleet from '../test/FakeFleet.js';
import type FakeVM from '../test/FakeVM.js';

const SECONDS_PER_DAY = 86_400;
/** Failures and restarts a day of the fleet to design for, and its number of VMs. */
const FAILURES_PER_DAY = 190;
const RESTARTS_PER_DAY = 1_200;
const DESIGN_VMS = 12_000;
const FAILURE_MILLISECONDS = 1_800_000;
const RESTART_NOTICE_MILLISECONDS = 120_000;
const RESTART_MILLISECONDS = 120_000;

/** Lets VMs fail and restart at random, at the rates of the design size scaled to the fleet. */
export default class Churn {
  readonly #random: RandomSource;

  #leaving: { readonly vm: FakeVM; readonly atMilliseconds: number }[] = [];

  failures = 0;

  restarts = 0;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  step(fleet: FakeFleet, seconds: number): void {
    const vms = [...fleet.vms.values()];
    const scale = (vms.length / DESIGN_VMS) * (seconds / SECONDS_PER_DAY);
    if (this.#random.next() < FAILURES_PER_DAY * scale) this.#fail(fleet, vms);
    if (this.#random.next() < RESTARTS_PER_DAY * scale) this.#announce(fleet, vms);
    this.#restart(fleet);
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

  #announce(fleet: FakeFleet, vms: readonly FakeVM[]): void {
    const vm = this.#pick(vms);
    if (vm === undefined || !vm.isUp(fleet.now) || vm.isLeaving) return;
    vm.isLeaving = true;
    this.#leaving.push({ vm, atMilliseconds: fleet.now + RESTART_NOTICE_MILLISECONDS });
    this.restarts += 1;
  }

  #restart(fleet: FakeFleet): void {
    for (const { vm, atMilliseconds } of this.#leaving) {
      if (atMilliseconds <= fleet.now) {
        vm.isLeaving = false;
        if (vm.isUp(fleet.now)) vm.crash(fleet.now, RESTART_MILLISECONDS);
      }
    }
    this.#leaving = this.#leaving.filter(({ atMilliseconds }) => atMilliseconds > fleet.now);
  }
}
