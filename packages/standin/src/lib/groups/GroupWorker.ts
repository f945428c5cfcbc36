import {
  AvailabilityZoneId, Epoch, FabricDomainId, ModelName, ServiceId, WorkerId, type GroupName,
} from '@dandelionlane/core';
import type {
  GroupMembership, OrderOutcome, OrderStamp, Worker, WorkerOrder, WorkerReport,
} from '@dandelionlane/fleet';

/** A model worker with the platform's rules for orders, without time. */
export default class GroupWorker {
  readonly id: WorkerId;

  bornAt: number;

  alive = true;

  draining = false;

  /** Whether its answers tell that it leaves, which its registration may not do yet. */
  leaving = false;

  sequence = 0;

  group: GroupMembership | null = null;

  members: readonly WorkerId[] = [];

  staged: readonly ModelName[] = [];

  /** Model of its group, while it is in one. */
  model: ModelName | null = null;

  /** Groups that it has joined, in order. */
  joined: readonly GroupName[] = [];

  #fence = 0;

  #highestEpoch = 0;

  constructor(id: string, bornAt: number) {
    this.id = WorkerId.parse(id);
    this.bornAt = bornAt;
  }

  restart(bornAt: number): void {
    this.bornAt = bornAt;
    this.alive = true;
    this.draining = false;
    this.sequence = 0;
    this.model = null;
    this.group = null;
    this.members = [];
    this.#fence = 0;
    this.#highestEpoch = 0;
  }

  /** Whether it would serve requests as a head. */
  get isServing(): boolean {
    return this.alive && this.group?.rank === 0 && (this.group.state === 'open' || this.group.state === 'closing');
  }

  worker(): Worker {
    return {
      id: this.id,
      service: ServiceId.parse('model'),
      address: '127.0.0.1:1',
      zone: AvailabilityZoneId.parse('zone'),
      domain: FabricDomainId.parse('domain'),
      slots: 4,
      draining: this.draining,
      coldMilliseconds: 0,
      bornAt: this.bornAt,
      models: this.model === null ? [] : [this.model],
      stagedModels: this.staged,
      group: this.group,
    };
  }

  report(): WorkerReport {
    return {
      bornAt: this.bornAt,
      busy: false,
      orderSequence: this.sequence,
      waitingRequests: 0,
      runningRequests: 0,
      slowdown: 1,
      domain: FabricDomainId.parse('domain'),
      models: this.model === null ? [] : [this.model],
      stagedModels: this.staged,
      group: this.group,
      leaving: this.leaving,
    };
  }

  /** Ends what takes time: a join, a close. */
  settle(): void {
    if (this.group?.state === 'joining' || this.group?.state === 'closing') {
      this.group = { ...this.group, state: 'ready' };
    }
  }

  take(order: WorkerOrder, stamp: OrderStamp): OrderOutcome {
    if (stamp.fencing < this.#fence) {
      return 'fenced';
    }
    this.#fence = stamp.fencing;
    if (stamp.expectedSequence !== this.sequence) {
      return 'conflict';
    }
    const accepted = this.#apply(order);
    if (accepted === 'begun') {
      this.sequence += 1;
    }
    return accepted;
  }

  #apply(order: WorkerOrder): OrderOutcome {
    if (order.kind === 'stage') {
      this.staged = [order.model];
      return 'begun';
    }
    if (order.kind === 'join') {
      const isOlder = order.epoch < this.#highestEpoch;
      const isOther = order.epoch === this.group?.epoch && order.members.join() !== this.members.join();
      if (isOlder || isOther) {
        return 'fenced';
      }
      this.#highestEpoch = order.epoch;
      this.members = order.members;
      this.joined = [...this.joined, order.group];
      this.staged = [order.model];
      this.model = order.model;
      this.group = {
        name: order.group,
        epoch: Epoch.parse(order.epoch),
        rank: order.members.indexOf(this.id),
        state: 'joining',
      };
      return 'begun';
    }
    if (this.group?.name !== order.group || this.group.epoch !== order.epoch) {
      return 'conflict';
    }
    switch (order.kind) {
      case 'open':
        if (this.group.state !== 'ready' || this.group.rank !== 0) {
          return this.group.state === 'open' ? 'done' : 'conflict';
        }
        this.group = { ...this.group, state: 'open' };
        return 'begun';
      case 'close':
        if (this.group.state !== 'open' && this.group.state !== 'closing') {
          return 'done';
        }
        this.group = { ...this.group, state: order.strategy === 'cut' ? 'ready' : 'closing' };
        return 'begun';
      case 'leave':
        this.group = null;
        this.model = null;
        this.members = [];
        return 'begun';
      default:
        return order satisfies never;
    }
  }
}
