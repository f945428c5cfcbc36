import type { Dispatcher } from 'undici';
import {
  EMPTY_RELEASE_STATE,
  type Clock, type RegionId, type Replica, type ReplicaId, type ReleaseState, type ServiceDefinition,
  type ServiceId, type TableStore, type VMId, type VMReport,
} from '@dandelionlane/core';
import { chooseHomes } from '@dandelionlane/membership';
import { planPlacement, type PlacementCommand, type ReplicaObservation } from '@dandelionlane/placement';
import {
  readVMList, readVMReport, sendEngineOrder, type HeldLease, type LeaseKeeper,
} from '@dandelionlane/platform';
import { loadReleaseState } from '@dandelionlane/release';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import FleetView from './fleet/FleetView.js';
import askEntry from './grants/askEntry.js';
import GrantKeeper from './grants/GrantKeeper.js';
import type LiveEntries from './grants/LiveEntries.js';
import readAcknowledgements from './grants/readAcknowledgements.js';
import type OrderTask from './orders/OrderTask.js';
import planOrders from './orders/planOrders.js';
import applyRowChange from './region/applyRowChange.js';
import changeForCommand from './region/changeForCommand.js';
import createRowTransaction from './region/createRowTransaction.js';
import readRegionRows from './region/readRegionRows.js';
import type RegionRows from './region/RegionRows.js';
import ReplicaFactory from './region/ReplicaFactory.js';
import type RowChange from './region/RowChange.js';

const HOME_COUNT = 3;
const FRESH_REPORT_MILLISECONDS = 3_000;

function listReplicas(rows: RegionRows): readonly Replica[] {
  return [...rows.placements.values()].flatMap(({ placement }) => placement.replicas);
}

/** What a `RegionController` needs from outside. */
interface RegionControllerOptions {
  readonly region: RegionId;
  readonly platformAddress: string;
  readonly store: TableStore;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
  readonly lease: LeaseKeeper;
  readonly liveEntries: LiveEntries;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** State that belongs to one term of the lease. A new term starts from the rows. */
interface Term {
  /** Silences are counted within the term only: before it, this process did not ask. */
  readonly fleet: FleetView;
  readonly factory: ReplicaFactory;
  readonly grants: GrantKeeper;
  readonly stateSince: Map<string, number>;
}

/**
 * Control loop of one region. Each round reads the rows and the fleet, plans, commits
 * each step as a transaction under the lease, and sends the orders that are due.
 *
 * Invariant: without a lease that may be acted on it writes and orders nothing.
 */
export default class RegionController {
  readonly #options: RegionControllerOptions;

  #release: ReleaseState = EMPTY_RELEASE_STATE;

  #term: Term | null = null;

  #termFencing = 0;

  constructor(options: RegionControllerOptions) {
    this.#options = options;
  }

  /** One round. Every failure ends the round; the next one starts from the rows again. */
  async step(): Promise<void> {
    const lease = this.#options.lease.held();
    if (lease === null) {
      this.#term = null;
      return;
    }
    const term = this.#termFor(lease);
    await this.#observe(term);
    const rows = await readRegionRows(this.#options.store, this.#options.region);
    if (rows.isErr()) {
      this.#options.log.warn('Rows were not read.', { kind: rows.error.kind, detail: rows.error.message });
      return;
    }
    const placed = await this.#place(term, rows.value);
    const granted = await this.#grant(term, placed);
    await this.#order(term, granted);
  }

  #termFor(lease: HeldLease): Term {
    if (this.#term !== null && this.#termFencing === lease.fencing) {
      return this.#term;
    }
    this.#options.log.info('Lease acquired.', { region: this.#options.region, fencing: lease.fencing });
    this.#termFencing = lease.fencing;
    this.#term = {
      fleet: new FleetView(this.#options.clock),
      factory: new ReplicaFactory(lease.fencing),
      grants: new GrantKeeper(this.#options.clock),
      stateSince: new Map(),
    };
    return this.#term;
  }

  async #observe({ fleet }: Term): Promise<void> {
    const { store, dispatcher, platformAddress } = this.#options;
    const [release, list] = await Promise.all([
      loadReleaseState(store, this.#release),
      readVMList(dispatcher, platformAddress),
      this.#options.liveEntries.refresh(),
    ]);
    this.#release = release.unwrapOr(this.#release);
    if (list.isOk()) {
      fleet.list(list.value.vms);
    }
    await Promise.all(fleet.records().map(async ({ vm, address }) => {
      const report = await readVMReport(dispatcher, vm, address);
      report.map((heard) => fleet.hear(heard));
    }));
  }

  #observeReplicas(term: Term, rows: RegionRows): readonly ReplicaObservation[] {
    const now = this.#options.clock.monotonicMilliseconds();
    return listReplicas(rows).map((replica) => {
      const key = `${replica.replica}/${replica.state}`;
      const since = term.stateSince.get(key) ?? now;
      term.stateSince.set(key, since);
      return { replica, stateMilliseconds: now - since };
    });
  }

  async #place(term: Term, rows: RegionRows): Promise<RegionRows> {
    const plan = planPlacement({
      monotonicMilliseconds: this.#options.clock.monotonicMilliseconds(),
      release: this.#release,
      vms: term.fleet.observations(),
      replicas: this.#observeReplicas(term, rows),
      allocations: [...rows.allocations.values()].map(({ allocation }) => allocation),
    });
    let current = rows;
    for (const command of plan) {
      current = await this.#carryOut(term, current, command);
    }
    return current;
  }

  async #carryOut(term: Term, rows: RegionRows, command: PlacementCommand): Promise<RegionRows> {
    this.#logCommand(command);
    if (command.kind === 'unload') {
      await this.#send({
        vm: command.vm,
        address: term.fleet.recordMap().get(command.vm)?.address ?? '',
        order: { kind: 'unload', fencing: term.factory.nextFencing(), replica: command.replica },
      });
      return rows;
    }
    const change = changeForCommand(command, {
      rows, vms: term.fleet.recordMap(), factory: term.factory,
    });
    if (change.isErr()) {
      this.#options.log.error('Command was not carried out.', { detail: change.error.message });
      return rows;
    }
    return this.#commit(rows, change.value);
  }

  /** Commits a change under the lease. Without a certain commit the rows stay as they were read. */
  async #commit(rows: RegionRows, change: RowChange): Promise<RegionRows> {
    const { lease, store, region } = this.#options;
    const held = lease.held();
    if (held === null) {
      return rows;
    }
    const outcome = await store.commit(createRowTransaction(region, rows, change, lease.condition(held)));
    if (outcome.isErr()) {
      this.#options.log.warn('Transaction failed.', { kind: outcome.error.kind });
      return rows;
    }
    if (outcome.value.kind === 'conflict') {
      this.#options.log.info('Transaction conflicted.', {
        rows: outcome.value.rows.map(({ table, key }) => `${table}:${key}`).join(' '),
      });
      return rows;
    }
    return applyRowChange(rows, change, outcome.value.version);
  }

  async #grant(term: Term, rows: RegionRows): Promise<RegionRows> {
    term.grants.hearEntries(this.#options.liveEntries.entries());
    await this.#hearAcknowledgements(term, rows);
    term.grants.forgetAllBut(new Set(listReplicas(rows).map(({ replica }) => replica)));
    let current = rows;
    for (const { definition } of this.#release.services) {
      current = await this.#grantService(term, current, definition);
    }
    return current;
  }

  /** Asks the entries whose shares were taken back, so that these can be given to others. */
  async #hearAcknowledgements(term: Term, rows: RegionRows): Promise<void> {
    const awaited = term.grants.awaited();
    const answers = await Promise.all(awaited.map((entry) => askEntry(this.#options.dispatcher, entry)));
    answers.forEach((answer) => {
      switch (answer.kind) {
        case 'document':
          readAcknowledgements(answer.entry.entry, answer.document, [...rows.placements.values()])
            .forEach((acknowledgement) => term.grants.acknowledge(acknowledgement));
          return;
        case 'gone':
          term.grants.gone(answer.entry.entry);
          return;
        case 'silent':
          return;
        default:
          answer satisfies never;
      }
    });
  }

  async #grantService(term: Term, rows: RegionRows, definition: ServiceDefinition): Promise<RegionRows> {
    const placement = rows.placements.get(definition.service)?.placement;
    const homes = this.#homesOf(definition.service);
    if (placement === undefined || homes.length === 0) {
      return rows;
    }
    const reports = term.fleet.freshReports(FRESH_REPORT_MILLISECONDS);
    const planned = new Map<ReplicaId, Replica>();
    placement.replicas
      .filter(({ state }) => state === 'loading' || state === 'serving')
      .forEach((replica) => {
        const grants = term.grants.plan({
          replica, limits: definition.limits, homes, target: this.#sightingOf(replica, reports),
        });
        if (grants !== null) {
          planned.set(replica.replica, { ...replica, grants: [...grants] });
        }
      });
    if (planned.size === 0) {
      return rows;
    }
    const change: RowChange = {
      placement: {
        service: definition.service,
        replicas: placement.replicas.map((replica) => planned.get(replica.replica) ?? replica),
      },
      allocate: [],
      free: [],
    };
    const changed = await this.#commit(rows, change);
    if (changed !== rows) {
      placement.replicas.forEach((replica) => {
        const next = planned.get(replica.replica);
        if (next !== undefined) {
          term.grants.committed(replica.replica, replica.grants, next.grants);
        }
      });
    }
    return changed;
  }

  #homesOf(service: ServiceId) {
    const out = this.#release.availabilityZonesOut;
    const entries = this.#options.liveEntries.entries()
      .filter(({ availabilityZone }) => !out.includes(availabilityZone));
    return chooseHomes(service, entries, HOME_COUNT);
  }

  #sightingOf(replica: Replica, reports: ReadonlyMap<VMId, VMReport>) {
    const first = replica.members[0];
    const report = first === undefined ? undefined : reports.get(first.vm);
    return report === undefined
      ? undefined
      : { report, seenAtMilliseconds: this.#options.clock.monotonicMilliseconds() };
  }

  async #order(term: Term, rows: RegionRows): Promise<void> {
    const tasks = planOrders({
      replicas: listReplicas(rows),
      definitions: new Map(this.#release.services.map(({ definition }) => [definition.service, definition])),
      reports: term.fleet.freshReports(FRESH_REPORT_MILLISECONDS),
    });
    await Promise.all(tasks.map((task) => this.#send(task)));
    this.#options.metrics.gauge('controller.replicas', listReplicas(rows).length);
    if (term.factory.isExhausted()) {
      await this.#options.lease.release();
    }
  }

  /** The lease is checked right before the send; its margin is longer than an order travels. */
  async #send(task: OrderTask): Promise<void> {
    if (this.#options.lease.held() === null) {
      return;
    }
    const { order, vm } = task;
    const sent = await sendEngineOrder(this.#options.dispatcher, task.address, order);
    const outcome = sent.isOk() ? 'accepted' : sent.error.kind;
    this.#options.log.info('Order sent.', {
      order: order.kind, vm, replica: order.replica, fencing: order.fencing, outcome,
    });
  }

  #logCommand(command: PlacementCommand): void {
    this.#options.log.info('Placement decided.', {
      command: command.kind,
      reason: command.reason,
      ...(command.kind === 'place' ? { service: command.service } : { replica: command.replica }),
      ...('members' in command ? { members: command.members.join(',') } : {}),
    });
  }
}
