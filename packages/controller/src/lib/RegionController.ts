import type { Dispatcher } from 'undici';
import {
  EMPTY_RELEASE_STATE,
  type Clock, type RegionId, type ReleaseState, type TableStore,
} from '@dandelionlane/core';
import { planPlacement, type PlacementCommand, type PlacementLimits } from '@dandelionlane/placement';
import {
  readVMList, sendEngineOrder, type HeldLease, type LeaseKeeper,
} from '@dandelionlane/platform';
import { loadReleaseState } from '@dandelionlane/release';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import pollFleet from './fleet/pollFleet.js';
import FleetTracker from './fleet/FleetTracker.js';
import listChangingVMs from './fleet/listChangingVMs.js';
import GrantReconciler from './grants/GrantReconciler.js';
import type LiveEntries from './grants/LiveEntries.js';
import type OrderTask from './orders/OrderTask.js';
import planOrders from './orders/planOrders.js';
import createRowChange from './region/createRowChange.js';
import RegionRowStore from './region/RegionRowStore.js';
import ReplicaFactory from './region/ReplicaFactory.js';
import ReplicaStateTracker from './ReplicaStateTracker.js';

/** Dependencies and settings of a `RegionController`. */
interface RegionControllerOptions {
  readonly region: RegionId;
  readonly limits: PlacementLimits;
  readonly platformAddress: string;
  readonly store: TableStore;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
  readonly lease: LeaseKeeper;
  readonly liveEntries: LiveEntries;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** State of one lease term. A new term starts from the rows in the store. */
interface Term {
  readonly fencing: number;
  /** Counts silences within the term only, since this process does not poll VMs before it. */
  readonly fleet: FleetTracker;
  readonly factory: ReplicaFactory;
  readonly rows: RegionRowStore;
  readonly grants: GrantReconciler;
  readonly times: ReplicaStateTracker;
}

/**
 * Control loop of one region. Each round observes the fleet, plans, commits each command as a
 * transaction under the lease, and sends the orders that are due.
 *
 * Invariants: it writes rows and sends orders only while it holds a lease with enough time left.
 * It plans only after it has read the release and a list of VMs, since unknown services would
 * look withdrawn and unknown VMs gone.
 */
export default class RegionController {
  readonly #options: RegionControllerOptions;

  #release: ReleaseState | null = null;

  #term: Term | null = null;

  constructor(options: RegionControllerOptions) {
    this.#options = options;
  }

  /** Runs one round. Ends it early if the rows cannot be read, or no release or VM list was ever read. */
  async step(): Promise<void> {
    const lease = this.#options.lease.held();
    if (lease === null) {
      this.#term = null;
      return;
    }
    const term = this.#ensureTerm(lease);
    const read = await term.rows.ensureRead();
    if (read.isErr()) {
      this.#options.log.warn('Rows were not read.', { kind: read.error.kind, detail: read.error.message });
      return;
    }
    await this.#observe(term);
    const release = this.#release;
    if (release === null || !term.fleet.hasList) {
      this.#options.log.warn('Nothing is planned yet.', {
        releaseRead: release !== null, listRead: term.fleet.hasList,
      });
      return;
    }
    await this.#applyPlan(term, release);
    await term.grants.reconcile({
      release, entries: this.#options.liveEntries.entries(), reports: term.fleet.freshReports(),
    });
    await this.#sendDueOrders(term, release);
  }

  #ensureTerm(lease: HeldLease): Term {
    if (this.#term?.fencing === lease.fencing) {
      return this.#term;
    }
    const { clock, dispatcher, log } = this.#options;
    log.info('Lease acquired.', { region: this.#options.region, fencing: lease.fencing });
    const rows = new RegionRowStore(this.#options);
    this.#term = {
      fencing: lease.fencing,
      fleet: new FleetTracker(clock),
      factory: new ReplicaFactory(lease.fencing),
      rows,
      grants: new GrantReconciler({ rows, dispatcher, clock }),
      times: new ReplicaStateTracker(clock),
    };
    return this.#term;
  }

  async #observe({ fleet, rows }: Term): Promise<void> {
    const {
      store, dispatcher, platformAddress, clock,
    } = this.#options;
    const [release, list] = await Promise.all([
      loadReleaseState(store, this.#release ?? EMPTY_RELEASE_STATE),
      readVMList(dispatcher, platformAddress),
      this.#options.liveEntries.refresh(),
    ]);
    this.#release = release.unwrapOr(this.#release);
    if (list.isOk()) {
      fleet.updateList(list.value.vms);
    }
    fleet.includeMembers(rows.replicas(), this.#release);
    await pollFleet(fleet, fleet.vmsToPoll(listChangingVMs(rows.replicas())), dispatcher, clock);
  }

  async #applyPlan(term: Term, release: ReleaseState): Promise<void> {
    const { rows, fleet, times } = term;
    const plan = planPlacement({
      monotonicMilliseconds: this.#options.clock.monotonicMilliseconds(),
      release,
      vms: fleet.observations(),
      replicas: times.observe(rows.replicas()),
      allocations: [...rows.rows.allocations.values()].map(({ allocation }) => allocation),
    }, this.#options.limits);
    for (const command of plan) {
      await this.#execute(term, command);
    }
  }

  async #execute(term: Term, command: PlacementCommand): Promise<void> {
    this.#logCommand(command);
    const vms = term.fleet.recordsByVM();
    if (command.kind === 'unload') {
      await this.#sendOrder({
        vm: command.vm,
        address: vms.get(command.vm)?.address ?? '',
        order: { kind: 'unload', fencing: term.factory.nextFencing(), replica: command.replica },
      });
      return;
    }
    const change = createRowChange(command, { rows: term.rows.rows, vms, factory: term.factory });
    if (change.isErr()) {
      this.#options.log.error('Command was not carried out.', { detail: change.error.message });
      return;
    }
    await term.rows.commit(change.value);
  }

  async #sendDueOrders(term: Term, release: ReleaseState): Promise<void> {
    const replicas = term.rows.replicas();
    const tasks = planOrders({
      replicas,
      definitions: new Map(release.services.map(({ definition }) => [definition.service, definition])),
      reports: term.fleet.freshReports(),
    });
    await Promise.all(tasks.map((task) => this.#sendOrder(task)));
    this.#options.metrics.gauge('controller.replicas', replicas.length);
    if (term.factory.isExhausted()) {
      await this.#options.lease.release();
    }
  }

  /** Checks the lease right before sending; its safety margin exceeds the delivery time of an order. */
  async #sendOrder({ order, vm, address }: OrderTask): Promise<void> {
    if (this.#options.lease.held() === null) {
      return;
    }
    const sent = await sendEngineOrder(this.#options.dispatcher, address, order);
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
