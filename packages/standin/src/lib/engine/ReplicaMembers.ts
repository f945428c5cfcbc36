import type { Incarnation } from '@dandelionlane/core';
import type EngineParts from './EngineParts.js';
import type LoadOrder from './LoadOrder.js';
import type MemberReport from './MemberReport.js';
import probeMember from './probeMember.js';
import sleep from '../sleep.js';

/** The other members of a replica, as one member sees them. */
export default class ReplicaMembers {
  readonly #parts: EngineParts;

  readonly #order: LoadOrder;

  readonly #addresses: readonly string[];

  #incarnations: readonly Incarnation[] = [];

  #isWhole = true;

  #crossesDomains = false;

  #watchers = 0;

  #checkedAt = Number.NEGATIVE_INFINITY;

  constructor(parts: EngineParts, order: LoadOrder) {
    this.#parts = parts;
    this.#order = order;
    this.#addresses = order.members.filter(({ vm }) => vm !== parts.vm.vm).map(({ address }) => address);
  }

  /** Whether every member answered at the last check, with the incarnation it had at the start. */
  get isWhole(): boolean {
    return this.#isWhole;
  }

  /** Whether the members are in more than one fabric domain. */
  get crossesDomains(): boolean {
    return this.#crossesDomains;
  }

  /** Ends when all members carry the replica and have their weights, or when aborted. */
  async waitUntilReady(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const reports = await this.#probe();
      if (reports.every((report) => this.#isReady(report))) {
        this.#begin(reports.flatMap((report) => report ?? []));
        return;
      }
      await sleep(this.#parts.common.memberCheckMilliseconds, signal);
    }
  }

  /** Keeps `isWhole` up to date while the work runs. */
  async watchWhile<Value>(work: () => Promise<Value>): Promise<Value> {
    if (this.#addresses.length === 0) {
      return work();
    }
    const age = this.#parts.clock.monotonicMilliseconds() - this.#checkedAt;
    if (age > this.#parts.common.memberCheckMilliseconds) {
      await this.#check();
    }
    this.#watchers += 1;
    if (this.#watchers === 1) {
      void this.#watch();
    }
    return work().finally(() => {
      this.#watchers -= 1;
    });
  }

  async #watch(): Promise<void> {
    while (this.#watchers > 0) {
      await sleep(this.#parts.common.memberCheckMilliseconds);
      await this.#check();
    }
  }

  async #check(): Promise<void> {
    const reports = await this.#probe();
    this.#isWhole = reports.every((report, index) => this.#isReady(report)
      && report?.incarnation === this.#incarnations[index]);
    this.#checkedAt = this.#parts.clock.monotonicMilliseconds();
  }

  #begin(reports: readonly MemberReport[]): void {
    this.#incarnations = reports.map(({ incarnation }) => incarnation);
    this.#crossesDomains = reports.some(({ fabricDomain }) => fabricDomain !== this.#parts.vm.fabricDomain);
    this.#checkedAt = this.#parts.clock.monotonicMilliseconds();
  }

  #probe(): Promise<readonly (MemberReport | undefined)[]> {
    const { common, dispatcher } = this.#parts;
    return Promise.all(this.#addresses.map(
      (address) => probeMember(address, common.memberTimeoutMilliseconds, dispatcher),
    ));
  }

  #isReady(report: MemberReport | undefined): boolean {
    return report !== undefined
      && report.replica === this.#order.replica
      && report.version === this.#order.version
      && report.weightsLoaded;
  }
}
