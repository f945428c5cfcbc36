import {
  ServiceId, WorkerId, type AvailabilityZoneId, type FabricDomainId, type ManualClock, type ModelName,
} from '@dandelionlane/core';
import type {
  GroupMembership, OrderOutcome, OrderStamp, Worker, WorkerOrder, WorkerReport,
} from '@dandelionlane/fleet';
import type SimulatedModel from './SimulatedModel.js';
import type WeightStore from './WeightStore.js';

/** Time of a join in a group of the model that the worker has in memory, in ms. */
const REJOIN_MILLISECONDS = 200;

/** Time from the order to open until the head serves, in ms. */
const OPEN_MILLISECONDS = 300;

/** Time that a group needs to finish its requests, in ms. */
const FINISH_MILLISECONDS = 1_000;

/** Options of a `SimulatedWorker`. */
interface SimulatedWorkerOptions {
  readonly id: string;
  readonly zone: AvailabilityZoneId;
  readonly domain: FabricDomainId;
  readonly clock: ManualClock;
  readonly models: readonly SimulatedModel[];
  readonly weights: WeightStore;
}

/** A model worker with the platform's rules and times for orders. */
export default class SimulatedWorker {
  readonly id: WorkerId;

  readonly zone: AvailabilityZoneId;

  readonly domain: FabricDomainId;

  readonly #options: SimulatedWorkerOptions;

  /** Whether it answers; a worker that does not is lost or out for a while. */
  alive = true;

  draining = false;

  bornAt: number;

  members: readonly WorkerId[] = [];

  #sequence = 0;

  #fence = 0;

  #highestEpoch = 0;

  #group: GroupMembership | null = null;

  /** Model of the current group. */
  #model: ModelName | null = null;

  /** Model that it has in memory: that of the last join that was completed since its start. */
  #lastModel: ModelName | null = null;

  #staged: ModelName | null = null;

  /** Model that is loaded from the store, and whether the join of a group waits for it. */
  #loading: { readonly model: ModelName; readonly isJoin: boolean } | null = null;

  /** When the current transition of the group ends: a join, a close or an opening. */
  #transitionEndsAt = Number.POSITIVE_INFINITY;

  constructor(options: SimulatedWorkerOptions) {
    this.#options = options;
    this.id = WorkerId.parse(options.id);
    this.zone = options.zone;
    this.domain = options.domain;
    this.bornAt = options.clock.monotonicMilliseconds();
  }

  get group(): GroupMembership | null {
    return this.#group;
  }

  get model(): ModelName | null {
    return this.#model;
  }

  get isServing(): boolean {
    return this.alive && this.#group?.rank === 0
      && (this.#group.state === 'open' || this.#group.state === 'closing');
  }

  /** Stops answering. */
  crash(): void {
    this.alive = false;
    this.#options.weights.cancel(this);
  }

  /** Starts again under its id; its host has kept the weights. */
  restart(): void {
    this.alive = true;
    this.bornAt = this.#options.clock.monotonicMilliseconds();
    this.#sequence = 0;
    this.#fence = 0;
    this.#highestEpoch = 0;
    this.#group = null;
    this.#model = null;
    this.#lastModel = null;
    this.#loading = null;
    this.#transitionEndsAt = Number.POSITIVE_INFINITY;
    this.members = [];
  }

  worker(): Worker {
    return {
      id: this.id,
      service: ServiceId.parse('model'),
      address: '127.0.0.1:1',
      zone: this.zone,
      domain: this.domain,
      slots: 4,
      draining: this.draining,
      coldMilliseconds: 0,
      bornAt: this.bornAt,
      models: this.#model === null ? [] : [this.#model],
      stagedModels: this.#staged === null ? [] : [this.#staged],
      group: this.#group,
    };
  }

  report(): WorkerReport {
    const {
      bornAt, models, stagedModels, group, domain,
    } = this.worker();
    return {
      bornAt,
      busy: this.#loading?.isJoin === false,
      orderSequence: this.#sequence,
      waitingRequests: 0,
      runningRequests: 0,
      slowdown: 1,
      domain,
      models,
      stagedModels,
      group,
      leaving: this.draining,
    };
  }

  /** Ends the transitions that are due. */
  settle(): void {
    const now = this.#options.clock.monotonicMilliseconds();
    if (this.#loading !== null && !this.#options.weights.isLoading(this)) {
      this.#staged = this.#loading.model;
      if (this.#loading.isJoin) {
        this.#transitionEndsAt = now;
      }
      this.#loading = null;
    }
    if (this.#group !== null && now >= this.#transitionEndsAt) {
      const isOpening = this.#group.state === 'ready';
      this.#lastModel = this.#model;
      this.#group = { ...this.#group, state: isOpening ? 'open' : 'ready' };
      this.#transitionEndsAt = Number.POSITIVE_INFINITY;
    }
  }

  take(order: WorkerOrder, stamp: OrderStamp): OrderOutcome {
    this.settle();
    if (stamp.fencing < this.#fence) {
      return 'fenced';
    }
    this.#fence = stamp.fencing;
    if (stamp.expectedSequence !== this.#sequence) {
      return 'conflict';
    }
    const outcome = this.#apply(order);
    this.#sequence += outcome === 'begun' ? 1 : 0;
    return outcome;
  }

  #apply(order: WorkerOrder): OrderOutcome {
    const now = this.#options.clock.monotonicMilliseconds();
    if (order.kind === 'stage') {
      if (this.#staged === order.model) {
        return 'done';
      }
      this.#load(order.model, false);
      return 'begun';
    }
    if (order.kind === 'join') {
      return this.#join(order, now);
    }
    if (this.#group?.name !== order.group || this.#group.epoch !== order.epoch) {
      return 'conflict';
    }
    switch (order.kind) {
      case 'open':
        if (this.#group.state !== 'ready' || this.#group.rank !== 0) {
          return this.#group.state === 'open' ? 'done' : 'conflict';
        }
        this.#transitionEndsAt = now + OPEN_MILLISECONDS;
        return 'begun';
      case 'close':
        if (this.#group.state !== 'open' && this.#group.state !== 'closing') {
          return 'done';
        }
        this.#group = { ...this.#group, state: 'closing' };
        this.#transitionEndsAt = order.strategy === 'cut' ? now : now + FINISH_MILLISECONDS;
        return 'begun';
      case 'leave':
        this.#group = null;
        this.#model = null;
        this.members = [];
        this.#transitionEndsAt = Number.POSITIVE_INFINITY;
        if (this.#loading !== null) {
          this.#loading = { ...this.#loading, isJoin: false };
        }
        return 'begun';
      default:
        return order satisfies never;
    }
  }

  #join(order: Extract<WorkerOrder, { kind: 'join' }>, now: number): OrderOutcome {
    const isOther = order.epoch === this.#group?.epoch && order.members.join() !== this.members.join();
    if (order.epoch < this.#highestEpoch || isOther) {
      return 'fenced';
    }
    this.#highestEpoch = order.epoch;
    this.members = order.members;
    this.#group = {
      name: order.group, epoch: order.epoch, rank: order.members.indexOf(this.id), state: 'joining',
    };
    this.#model = order.model;
    if (this.#lastModel === order.model) {
      this.#transitionEndsAt = now + REJOIN_MILLISECONDS;
    } else if (this.#staged === order.model) {
      this.#transitionEndsAt = now + this.#modelOf(order.model).warmUpMilliseconds;
    } else {
      this.#transitionEndsAt = Number.POSITIVE_INFINITY;
      this.#load(order.model, true);
    }
    return 'begun';
  }

  /** Begins a load, or goes on with the one under way for the same model. */
  #load(model: ModelName, isJoin: boolean): void {
    if (this.#loading?.model !== model) {
      this.#options.weights.begin(this, this.#modelOf(model).loadMilliseconds);
    }
    this.#loading = { model, isJoin };
  }

  #modelOf(name: ModelName): SimulatedModel {
    const model = this.#options.models.find((candidate) => candidate.name === name);
    if (model === undefined) {
      throw new RangeError(`no model ${name}`);
    }
    return model;
  }
}
