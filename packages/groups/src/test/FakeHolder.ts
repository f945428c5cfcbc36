import {
  FencingNumber, ManualClock, ModelName, ServiceId, type GroupName, type WorkerId,
} from '@dandelionlane/core';
import type { OrderStamp, WorkerOrder, WorkerReport } from '@dandelionlane/fleet';
import type { GroupWorker } from '@dandelionlane/standin';
import FleetObservation from '../lib/observation/FleetObservation.js';
import type ObservedWorker from '../lib/observation/ObservedWorker.js';
import EpochSource from '../lib/plan/EpochSource.js';
import ModelDemand from '../lib/plan/ModelDemand.js';
import planGroups from '../lib/plan/planGroups.js';
import type GroupRecord from '../lib/plan/GroupRecord.js';
import createEngine from './createEngine.js';

const ENGINE = createEngine(4, [
  {
    name: ModelName.parse('large'), groupSize: 3, pace: 1, workShare: 0.6,
  },
  {
    name: ModelName.parse('small'), groupSize: 2, pace: 1, workShare: 0.4,
  },
]);

/** Rows of the groups with their versions, shared by all holders. */
export type GroupRows = Map<GroupName, { readonly record: GroupRecord; readonly version: number }>;

/** An order in flight to a worker. */
export interface SentOrder {
  readonly worker: WorkerId;
  readonly order: WorkerOrder;
  readonly stamp: OrderStamp;
}

/** A holder of the lease whose reports and records may be out of date. */
export default class FakeHolder {
  readonly fencing: FencingNumber;

  readonly #epochs: EpochSource;

  readonly #rows: GroupRows;

  readonly #known: Map<GroupName, number>;

  readonly #records: Map<GroupName, GroupRecord>;

  readonly #unsaved = new Set<GroupName>();

  readonly #reports = new Map<WorkerId, WorkerReport>();

  readonly #misses = new Map<WorkerId, number>();

  readonly #lastModels = new Map<WorkerId, ModelName>();

  deposed = false;

  /** Whether another holder has taken over, possibly without this one knowing. */
  replaced = false;

  constructor(fencing: number, rows: GroupRows) {
    this.fencing = FencingNumber.parse(fencing);
    this.#epochs = new EpochSource(this.fencing);
    this.#rows = rows;
    this.#known = new Map([...rows].map(([name, { version }]) => [name, version]));
    this.#records = new Map([...rows].map(([name, { record }]) => [name, record]));
  }

  /** Probes a worker; an unanswered probe counts as two misses. */
  ask(worker: GroupWorker, answers: boolean): void {
    if (answers && worker.alive) {
      this.#reports.set(worker.id, worker.report());
      this.#misses.set(worker.id, 0);
    } else {
      this.#misses.set(worker.id, (this.#misses.get(worker.id) ?? 0) + 2);
    }
  }

  /** A worker has refused an order because it has seen a later term. */
  fenced(): void {
    this.deposed = true;
  }

  /**
   * Plans one round, writes its records and returns its orders. Without the store, orders are sent
   * before their records are written.
   */
  plan(
    workers: readonly GroupWorker[],
    registered: ReadonlySet<WorkerId>,
    reachesStore: boolean,
  ): readonly SentOrder[] {
    if (reachesStore && !this.#save()) {
      return [];
    }
    const observed = new Map(workers.map((worker): [WorkerId, ObservedWorker] => {
      const misses = this.#misses.get(worker.id) ?? 0;
      return [worker.id, {
        worker: worker.worker(),
        isRegistered: registered.has(worker.id),
        report: this.#reports.get(worker.id) ?? null,
        hasEnded: false,
        misses,
        silentMilliseconds: misses * 1_000,
        groupStateMilliseconds: 0,
        lastModel: this.#lastModels.get(worker.id) ?? null,
        isOpening: false,
        hasPendingOrder: false,
      }];
    }));
    const steps = planGroups({
      service: ServiceId.parse('model'),
      epochs: this.#epochs,
      isConfirmed: !this.replaced,
      engine: ENGINE,
      records: [...this.#records.values()],
      observation: new FleetObservation(observed, 10_000),
      candidates: [...registered],
      demand: new ModelDemand(new ManualClock()),
      closedZones: new Set(),
    });
    steps.forEach((step) => {
      switch (step.kind) {
        case 'write':
          this.#records.set(step.record.name, step.record);
          this.#unsaved.add(step.record.name);
          break;
        case 'delete':
          this.#records.delete(step.name);
          this.#unsaved.add(step.name);
          break;
        case 'order':
          if (step.order.kind === 'join') {
            this.#lastModels.set(step.worker, step.order.model);
          }
          break;
        default:
          step satisfies never;
      }
    });
    const written = !reachesStore || this.#save();
    return written ? steps.flatMap((step): SentOrder[] => (step.kind === 'order' ? [{
      worker: step.worker,
      order: step.order,
      stamp: { fencing: this.fencing, expectedSequence: this.#reports.get(step.worker)?.orderSequence ?? 0 },
    }] : [])) : [];
  }

  /** Writes unsaved records, unless another holder has written one of the rows. */
  #save(): boolean {
    const isFree = [...this.#unsaved]
      .every((name) => (this.#rows.get(name)?.version ?? 0) === (this.#known.get(name) ?? 0));
    if (!isFree) {
      this.deposed = true;
      return false;
    }
    this.#unsaved.forEach((name) => {
      const record = this.#records.get(name);
      const version = (this.#known.get(name) ?? 0) + 1;
      if (record === undefined) {
        this.#rows.delete(name);
        this.#known.delete(name);
      } else {
        this.#rows.set(name, { record, version });
        this.#known.set(name, version);
      }
    });
    this.#unsaved.clear();
    return true;
  }
}
