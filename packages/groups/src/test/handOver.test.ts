import fc from 'fast-check';
import { expect, test } from 'vitest';
import { Epoch, FencingNumber, type WorkerId } from '@dandelionlane/core';
import type { WorkerOrder } from '@dandelionlane/fleet';
import { GroupWorker } from '@dandelionlane/standin';
import warmUpGroupOf from '../lib/plan/warmUpGroupOf.js';
import FakeHolder, { type GroupRows, type SentOrder } from './FakeHolder.js';

const PARAMETERS = { seed: 20_261_204, numRuns: 400 };
const WORKERS = 9;

type Event = | {
  readonly kind: 'round';
  readonly holder: 'new' | 'old';
  readonly silent: readonly number[];
  readonly reachesStore: boolean;
}
  | { readonly kind: 'deliver'; readonly pick: number; readonly count: number }
  | { readonly kind: 'lose'; readonly pick: number }
  | { readonly kind: 'settle' }
  | { readonly kind: 'crash'; readonly worker: number }
  | { readonly kind: 'lapse'; readonly worker: number }
  | { readonly kind: 'restart'; readonly worker: number }
  | { readonly kind: 'drain'; readonly worker: number }
  | { readonly kind: 'takeOver' };

const worker = fc.nat(WORKERS - 1);
function round(holder: 'new' | 'old', silent: number): fc.Arbitrary<Event> {
  return fc.record({
    kind: fc.constant('round' as const),
    holder: fc.constant(holder),
    silent: fc.array(worker, { maxLength: silent }),
    reachesStore: fc.integer({ min: 0, max: 3 }).map((number) => number > 0),
  });
}

const EVENT: fc.Arbitrary<Event> = fc.oneof(
  { weight: 9, arbitrary: round('new', 0) },
  { weight: 3, arbitrary: round('old', 0) },
  { weight: 2, arbitrary: round('new', 2) },
  { weight: 14, arbitrary: fc.record({ kind: fc.constant('deliver' as const), pick: fc.nat(20), count: fc.integer({ min: 1, max: 12 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const), pick: fc.nat(20) }) },
  { weight: 6, arbitrary: fc.constant({ kind: 'settle' as const }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('crash' as const), worker }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('lapse' as const), worker }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('restart' as const), worker }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('drain' as const), worker }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'takeOver' as const }) },
);

/** Model of the fleet and the orders in flight, which checks the invariants. */
class Model {
  readonly workers = Array.from({ length: WORKERS }, (_, index) => new GroupWorker(`w${index}`, 1));

  readonly registered = new Set<WorkerId>(this.workers.map(({ id }) => id));

  readonly rows: GroupRows = new Map();

  readonly inFlight: SentOrder[] = [];

  /** Members that have been ready in a formation. */
  readonly ready = new Set<string>();

  holder = new FakeHolder(1, this.rows);

  oldHolder: FakeHolder | null = null;

  opened = 0;

  readonly #lists = new Map<number, string>();

  #births = 1;

  #terms = 1;

  apply(event: Event): void {
    switch (event.kind) {
      case 'round':
        this.#round(event.holder === 'old' ? this.oldHolder : this.holder, event.silent, event.reachesStore);
        break;
      case 'deliver':
        for (let index = 0; index < event.count && this.inFlight.length > 0; index += 1) {
          this.#deliver(this.inFlight.splice(event.pick % this.inFlight.length, 1)[0]);
        }
        break;
      case 'lose':
        this.inFlight.splice(event.pick % Math.max(1, this.inFlight.length), 1);
        break;
      case 'settle':
        this.workers.forEach((each) => {
          each.settle();
          this.#noteReady(each);
        });
        break;
      case 'crash':
        this.#worker(event.worker).alive = false;
        break;
      case 'lapse':
        if (!this.#worker(event.worker).alive) {
          this.registered.delete(this.#worker(event.worker).id);
        }
        break;
      case 'restart':
        if (!this.#worker(event.worker).alive) {
          this.#births += 1;
          this.#worker(event.worker).restart(this.#births);
          this.registered.add(this.#worker(event.worker).id);
        }
        break;
      case 'drain':
        this.#worker(event.worker).draining = true;
        break;
      case 'takeOver':
        this.#terms += 1;
        this.oldHolder = this.holder;
        this.oldHolder.replaced = true;
        this.holder = new FakeHolder(this.#terms, this.rows);
        break;
      default:
        event satisfies never;
    }
  }

  #worker(index: number): GroupWorker {
    const found = this.workers[index];
    if (found === undefined) {
      throw new RangeError(`no worker ${index}`);
    }
    return found;
  }

  #round(holder: FakeHolder | null, silent: readonly number[], reachesStore: boolean): void {
    if (holder === null || holder.deposed) {
      return;
    }
    this.workers.forEach((each, index) => holder.ask(each, !silent.includes(index)));
    const sent = holder.plan(this.workers, this.registered, reachesStore);
    sent.forEach(({ order }) => this.#checkEpoch(order));
    this.inFlight.push(...sent);
  }

  /** Checks that an epoch is used for one list of members of one group only. */
  #checkEpoch(order: WorkerOrder): void {
    if (order.kind === 'join') {
      const list = `${order.group} ${order.members.join()}`;
      expect(this.#lists.get(order.epoch) ?? list, `epoch ${order.epoch} given twice`).toBe(list);
      this.#lists.set(order.epoch, list);
    }
  }

  #noteReady(each: GroupWorker): void {
    if (each.group?.state === 'ready') {
      this.ready.add(`${each.id}/${each.bornAt}/${each.group.name}/${each.group.epoch}/${each.members.join()}`);
    }
  }

  #deliver(sent: SentOrder | undefined): void {
    const target = this.workers.find(({ id }) => id === sent?.worker);
    if (sent === undefined || target === undefined || !target.alive) {
      return;
    }
    const headBefore = this.#headOf(target);
    const servingBefore = headBefore?.isServing === true && headBefore.group?.epoch === target.group?.epoch;
    const outcome = target.take(sent.order, sent.stamp);
    if (outcome === 'fenced') {
      [this.holder, this.oldHolder].find((each) => each?.fencing === sent.stamp.fencing)?.fenced();
    }
    if (outcome === 'begun' && sent.order.kind === 'join') {
      expect(servingBefore, `${target.id} joined another group while its head served`).toBe(false);
    }
    if (outcome === 'begun' && sent.order.kind === 'open') {
      this.#checkOpen(target, sent.order);
    }
    this.#noteReady(target);
  }

  #headOf(member: GroupWorker): GroupWorker | undefined {
    return this.workers.find(({ id }) => id === member.members[0]);
  }

  #checkOpen(head: GroupWorker, order: WorkerOrder): void {
    this.opened += 1;
    const group = order.kind === 'open' ? `${order.group}/${order.epoch}` : '';
    const everReady = head.members.every((member) => [...this.ready]
      .some((entry) => entry.startsWith(`${member}/`) && entry.endsWith(`/${group}/${head.members.join()}`)));
    expect(everReady, `${group} opened before all members had been ready`).toBe(true);
  }
}

/** Runs rounds without faults, in which every order arrives and is carried out. */
function calmRounds(model: Model, count: number): void {
  for (let index = 0; index < count; index += 1) {
    model.apply({
      kind: 'round', holder: 'new', silent: [], reachesStore: true,
    });
    model.apply({ kind: 'deliver', pick: 0, count: 20 });
    model.apply({ kind: 'settle' });
  }
}

test('no worker changes group under a serving head, and no incomplete group opens', () => {
  let opened = 0;
  fc.assert(fc.property(fc.array(EVENT, { minLength: 40, maxLength: 160 }), (events) => {
    const model = new Model();
    events.forEach((event) => model.apply(event));
    opened += model.opened;
  }), PARAMETERS);
  // Guards against a vacuous pass: enough groups must have opened in the runs.
  expect(opened).toBeGreaterThan(PARAMETERS.numRuns);
});

test('a fleet without faults serves and stays unchanged', () => {
  const model = new Model();
  calmRounds(model, 6);
  const serving = model.workers.filter(({ isServing }) => isServing).length;
  expect(serving).toBe(3);
  calmRounds(model, 4);
  expect(model.workers.filter(({ isServing }) => isServing).length).toBe(serving);
  expect(model.inFlight).toEqual([]);
});

test('a lost member is replaced by a spare', () => {
  const model = new Model();
  calmRounds(model, 6);
  const lost = model.workers.find(({ group }) => group !== null && group.rank === 1);
  expect(lost).toBeDefined();
  model.apply({ kind: 'crash', worker: model.workers.findIndex((each) => each === lost) });
  calmRounds(model, 8);
  expect(model.workers.filter(({ isServing }) => isServing).length).toBe(3);
});

test('a spare is warmed up once and is free again', () => {
  const model = new Model();
  calmRounds(model, 12);
  const spares = model.workers.filter(({ group }) => group === null);
  expect(spares.length).toBeGreaterThan(0);
  spares.forEach(({ id, joined }) => expect(joined).toEqual([`warm-up-${id}`]));
});

test('a spare that is warming up can replace a lost member', () => {
  const model = new Model();
  const isWarming = ({ id, group }: GroupWorker) => group?.name === `warm-up-${id}`;
  for (let rounds = 0; rounds < 12 && !model.workers.some(isWarming); rounds += 1) {
    model.apply({ kind: 'settle' });
    model.apply({
      kind: 'round', holder: 'new', silent: [], reachesStore: true,
    });
    model.apply({ kind: 'deliver', pick: 0, count: 20 });
  }
  expect(model.workers.some(isWarming)).toBe(true);
  const lost = model.workers.findIndex(({ group }) => group?.rank === 1);
  model.apply({ kind: 'crash', worker: lost });
  calmRounds(model, 8);
  expect(model.workers.filter(({ isServing }) => isServing).length).toBe(3);
});

test('a formation of an earlier term completes although a member has seen later epochs', () => {
  const model = new Model();
  calmRounds(model, 10);
  const [row] = [...model.rows.values()];
  const spare = model.workers.find(({ group }) => group === null);
  if (row === undefined || spare === undefined) {
    throw new Error('no group or no spare');
  }
  // The first holder replaced a member in the record, but its order to the spare was never sent.
  const { record, version } = row;
  const [head] = record.members;
  const {
    bornAt, address, zone, domain, id,
  } = spare.worker();
  const reference = {
    bornAt, address, zone, domain, id,
  };
  model.rows.set(record.name, {
    version: version + 1,
    record: {
      ...record,
      epoch: Epoch.parse(record.epoch + 100),
      members: [...record.members.slice(0, -1), reference],
      formerHeads: head === undefined ? [] : [{ epoch: record.epoch, head, stalled: false }],
    },
  });
  // The second holder, unaware of that, warmed the spare up under a later epoch.
  const warmUp = { group: warmUpGroupOf(spare.id), epoch: Epoch.parse(2_000_001) };
  const stamp = (sequence: number) => ({ fencing: FencingNumber.parse(2), expectedSequence: sequence });
  spare.take({
    kind: 'join', ...warmUp, model: record.model, members: [spare.id],
  }, stamp(spare.sequence));
  spare.take({ kind: 'leave', ...warmUp }, stamp(spare.sequence));
  model.apply({ kind: 'takeOver' });
  model.apply({ kind: 'takeOver' });
  calmRounds(model, 12);
  expect(model.holder.deposed).toBe(false);
  const heads = [...model.rows.values()].map(({ record: { members } }) => members[0]?.id);
  const found = model.workers.filter(({ id: each }) => heads.includes(each));
  expect(found.every(({ isServing }) => isServing)).toBe(true);
});
