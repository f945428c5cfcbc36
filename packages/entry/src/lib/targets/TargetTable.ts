import type { Dispatcher } from 'undici';
import {
  TABLE_NAMES,
  type Clock, type EntryId, type RegionId, type ReplicaMember, type ServiceId, type TableStore, type VMId,
} from '@dandelionlane/core';
import { readVMReport } from '@dandelionlane/platform';
import { mergeReport, type ReceivedReport } from '@dandelionlane/routing';
import type { Log } from '@dandelionlane/telemetry';
import ServiceTargets from './ServiceTargets.js';

/** Longest wait for the reports of one round. Later ones are recorded when they arrive. */
const REPORT_ROUND_TIMEOUT_MILLISECONDS = 100;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** Dependencies and settings of a `TargetTable`. */
interface TargetTableOptions {
  readonly entry: EntryId;
  readonly region: RegionId;
  readonly store: TableStore;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
  readonly freshnessMilliseconds: number;
  /** Whether a VM receives no new requests because operators took it or its zone out of service. */
  readonly isOut: (member: ReplicaMember) => boolean;
  readonly log: Log;
  /** Called after rows or reports of a service were read, which may change the capacity of its targets. */
  readonly onCapacityChange: (targets: ServiceTargets) => void;
}

/** Minimum time between the starts of two polls of one VM. */
const MINIMUM_POLL_INTERVAL_MILLISECONDS = 25;

/** Live state of the targets of those services that have this entry as a home. */
export default class TargetTable {
  readonly #options: TargetTableOptions;

  readonly #services = new Map<ServiceId, ServiceTargets>();

  readonly #observations = new Map<VMId, ReceivedReport>();

  /** When the poll that returned the current report of a VM was sent. */
  readonly #observationPolledAt = new Map<VMId, number>();

  /** Polls in flight, at most one per VM. */
  readonly #pollsInFlight = new Map<VMId, Promise<void>>();

  /** Polls that have not been sent, at most one per VM. */
  readonly #queuedPolls = new Map<VMId, Promise<void>>();

  /** When the last poll of a VM was sent. */
  readonly #lastPollAt = new Map<VMId, number>();

  constructor(options: TargetTableOptions) {
    this.#options = options;
  }

  targets(service: ServiceId): ServiceTargets | undefined {
    return this.#services.get(service);
  }

  services(): Iterable<ServiceTargets> {
    return this.#services.values();
  }

  /**
   * Reads the placement rows of the home services in one call, and evicts other services. Polls the VMs
   * of replicas that serve according to their rows only: the next round of polls would come up to a
   * period later, and requests would be refused until then.
   */
  async readRows(homeServices: readonly ServiceId[]): Promise<void> {
    this.#evictOtherServices(new Set(homeServices));
    const { store, region, clock } = this.#options;
    const readAtMilliseconds = clock.monotonicMilliseconds();
    const rows = await store.read(homeServices.map((service) => ({
      table: TABLE_NAMES.placements, key: `${region}/${service}`,
    })));
    if (rows.isErr()) {
      this.#options.log.debug('Placement rows were not read.', { kind: rows.error.kind });
      return;
    }
    homeServices.forEach((service, index) => {
      const row = rows.value[index];
      const targets = this.#targetsFor(service);
      if (row !== undefined && !targets.applyRow(row, readAtMilliseconds)) {
        this.#options.log.error('Placement row is malformed.', { service });
      }
      this.#options.onCapacityChange(targets);
    });
    this.#evictObservations();
    this.#services.forEach((targets) => void this.#pollUnconfirmed(targets));
  }

  /** Polls the VMs of replicas that serve according to their rows, but not according to their reports. */
  async #pollUnconfirmed(targets: ServiceTargets): Promise<void> {
    const members = targets.unconfirmedMembers();
    if (members.length > 0) {
      await Promise.all(members.map((member) => this.poll(member)));
      targets.assess();
      this.#options.onCapacityChange(targets);
    }
  }

  /** Polls every VM of the tracked services for its report. Slow VMs do not delay the others. */
  async pollReports(): Promise<void> {
    const services = [...this.#services.values()];
    const members = services.flatMap((targets) => targets.members());
    const polls = Promise.all(members.map((member) => this.poll(member)));
    await Promise.race([polls, sleep(REPORT_ROUND_TIMEOUT_MILLISECONDS)]);
    services.forEach((targets) => {
      targets.assess();
      this.#options.onCapacityChange(targets);
    });
  }

  /** Polls a VM for a report made after this call. Calls before the poll is sent share it. */
  poll(member: ReplicaMember): Promise<void> {
    const queued = this.#queuedPolls.get(member.vm);
    if (queued !== undefined) {
      return queued;
    }
    const poll = this.#pollWhenAllowed(member);
    this.#queuedPolls.set(member.vm, poll);
    return poll;
  }

  observationsOf(members: readonly ReplicaMember[]): readonly ReceivedReport[] {
    return members
      .map(({ vm }) => this.#observations.get(vm))
      .filter((observation) => observation !== undefined);
  }

  /**
   * Reports whose polls were sent at this monotonic time or later. The arrival time is irrelevant:
   * a report that was made before that time may arrive late.
   */
  observationsSince(
    members: readonly ReplicaMember[],
    monotonicMilliseconds: number,
  ): readonly ReceivedReport[] {
    return this.observationsOf(members.filter(({ vm }) => (
      (this.#observationPolledAt.get(vm) ?? -Infinity) >= monotonicMilliseconds
    )));
  }

  #oldestPollAtOf(members: readonly ReplicaMember[]): number {
    return Math.min(...members.map(({ vm }) => this.#observationPolledAt.get(vm) ?? -Infinity));
  }

  /** Waits until the poll of the VM in flight has ended and the minimum poll interval has passed. */
  async waitUntilPollable({ vm }: ReplicaMember): Promise<void> {
    await this.#pollsInFlight.get(vm);
    const lastPollAt = this.#lastPollAt.get(vm) ?? -Infinity;
    const waitMilliseconds = lastPollAt + MINIMUM_POLL_INTERVAL_MILLISECONDS
      - this.#options.clock.monotonicMilliseconds();
    if (waitMilliseconds > 0) {
      await sleep(waitMilliseconds);
    }
  }

  async #pollWhenAllowed(member: ReplicaMember): Promise<void> {
    await this.waitUntilPollable(member);
    this.#queuedPolls.delete(member.vm);
    this.#lastPollAt.set(member.vm, this.#options.clock.monotonicMilliseconds());
    const poll = this.#sendPoll(member).finally(() => this.#pollsInFlight.delete(member.vm));
    this.#pollsInFlight.set(member.vm, poll);
    await poll;
  }

  async #sendPoll({ vm, address }: ReplicaMember): Promise<void> {
    const polledAt = this.#options.clock.monotonicMilliseconds();
    const report = await readVMReport(this.#options.dispatcher, vm, address);
    report.map((receivedReport) => {
      const now = this.#options.clock.monotonicMilliseconds();
      const observation = mergeReport(this.#observations.get(vm), receivedReport, now);
      if (observation !== this.#observations.get(vm)) {
        this.#observationPolledAt.set(vm, polledAt);
      }
      this.#observations.set(vm, observation);
      return receivedReport;
    });
  }

  #targetsFor(service: ServiceId): ServiceTargets {
    const known = this.#services.get(service);
    if (known !== undefined) {
      return known;
    }
    const targets = new ServiceTargets(service, {
      entry: this.#options.entry,
      clock: this.#options.clock,
      freshnessMilliseconds: this.#options.freshnessMilliseconds,
      isOut: this.#options.isOut,
      observationsOf: (members) => this.observationsOf(members),
      oldestPollAtOf: (members) => this.#oldestPollAtOf(members),
    });
    this.#services.set(service, targets);
    return targets;
  }

  /** Keeps services with requests in flight, so that their concurrency limits stay accurate. */
  #evictOtherServices(home: ReadonlySet<ServiceId>): void {
    this.#services.forEach((targets, service) => {
      const isBusy = [...targets.replicaTargets()].some(({ inFlight }) => inFlight > 0);
      if (!home.has(service) && !isBusy) {
        this.#services.delete(service);
      }
    });
  }

  #evictObservations(): void {
    const known = new Set([...this.#services.values()]
      .flatMap((targets) => targets.members())
      .map(({ vm }) => vm));
    this.#observations.forEach((_, vm) => {
      if (!known.has(vm)) {
        this.#observations.delete(vm);
        this.#observationPolledAt.delete(vm);
        this.#lastPollAt.delete(vm);
      }
    });
  }
}
