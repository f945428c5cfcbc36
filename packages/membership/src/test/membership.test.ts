import { EntryId, SeededRandom } from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import createFakeNetwork from '../experiments/createFakeNetwork.js';
import createEntryRecords from '../experiments/createEntryRecords.js';
import type FakeEntry from '../experiments/FakeEntry.js';
import type FakeNetwork from '../experiments/FakeNetwork.js';
import startEntries from '../experiments/startEntries.js';
import createEntryRecord from '../experiments/createEntryRecord.js';
import {
  type MemberUpdate, Membership, MembershipSettings, PeerMessage, type PeerTarget, ReleaseHead,
} from '../index.js';

const SEED = 7;
const SETTLE_MILLISECONDS = 20_000;
const HEAL_MILLISECONDS = 120_000;

const faults = fc.oneof(
  fc.record({ kind: fc.constant('pause' as const), subject: fc.nat(20), seconds: fc.integer({ min: 1, max: 30 }) }),
  fc.record({ kind: fc.constant('cut' as const), subject: fc.nat(20), seconds: fc.integer({ min: 1, max: 30 }) }),
  fc.record({ kind: fc.constant('halve' as const), subject: fc.nat(20), seconds: fc.integer({ min: 1, max: 40 }) }),
  fc.record({ kind: fc.constant('restart' as const), subject: fc.nat(20), seconds: fc.integer({ min: 1, max: 10 }) }),
  fc.record({ kind: fc.constant('crash' as const), subject: fc.nat(20), seconds: fc.integer({ min: 1, max: 10 }) }),
);
type Fault = typeof faults extends fc.Arbitrary<infer Value> ? Value : never;

const scenarios = fc.record({
  seed: fc.nat(1_000_000),
  size: fc.integer({ min: 3, max: 12 }),
  loss: fc.double({ min: 0, max: 0.15, noNaN: true }),
  duplication: fc.double({ min: 0, max: 0.3, noNaN: true }),
  maximumDelayMilliseconds: fc.integer({ min: 1, max: 150 }),
  faults: fc.array(faults, { maxLength: 5 }),
});

function seedsOf(entries: readonly FakeEntry[]): readonly PeerTarget[] {
  return entries.slice(0, 3).map(({ record }) => ({ kind: 'entry', entry: record }));
}

function inject(network: FakeNetwork, entries: readonly FakeEntry[], fault: Fault): void {
  const { record } = entries[fault.subject % entries.length]!;
  const milliseconds = fault.seconds * 1_000;
  const subject = network.entries.get(record.entry);
  switch (fault.kind) {
    case 'pause':
      network.pause(record.entry);
      network.runFor(milliseconds);
      network.resume(record.entry);
      break;
    case 'cut':
      network.cut((from) => from.entry === record.entry);
      network.runFor(milliseconds);
      network.heal();
      break;
    case 'halve':
      network.cut((from, to) => (from.entry < record.entry) !== (to.entry < record.entry));
      network.runFor(milliseconds);
      network.heal();
      break;
    case 'restart':
      network.crash(record.entry);
      network.runFor(milliseconds);
      if (subject !== undefined) {
        network.restart(subject, seedsOf(entries));
      }
      break;
    case 'crash':
      network.crash(record.entry);
      network.runFor(milliseconds);
      break;
    default:
      throw new Error(`unknown fault ${String(fault satisfies never)}`);
  }
}

/** Entries that an entry takes for alive, in order. */
function aliveAt({ membership }: FakeEntry): readonly string[] {
  return membership.members()
    .filter(({ state }) => state === 'alive')
    .map(({ entry }) => `${entry.entry} ${entry.incarnation}`)
    .sort();
}

function expectAllSeeAll(network: FakeNetwork): void {
  const running = [...network.entries.values()];
  running.forEach((entry) => {
    const others = running
      .filter((other) => other !== entry)
      .map(({ record }) => `${record.entry} ${record.incarnation}`)
      .sort();
    expect(aliveAt(entry)).toEqual(others);
  });
}

test('live entries see just the live ones after faults', () => {
  fc.assert(fc.property(scenarios, ({ size, faults: list, ...options }) => {
    const network = createFakeNetwork({
      ...options, interceptMessage: (_from, _to, message) => PeerMessage.parse(message),
    });
    const entries = startEntries(network, createEntryRecords(size, 1));
    network.runFor(SETTLE_MILLISECONDS);
    list.forEach((fault) => inject(network, entries, fault));
    // Settles without loss: under loss a passing suspicion at the moment of looking is legitimate.
    network.setLoss(0);
    network.runFor(HEAL_MILLISECONDS);
    expectAllSeeAll(network);
  }), { seed: SEED, numRuns: 40 });
});

test('paused entry accuses nobody when it wakes', () => {
  const network = createFakeNetwork({ seed: SEED });
  const [paused, ...others] = startEntries(network, createEntryRecords(9, 1));
  network.runFor(SETTLE_MILLISECONDS);
  network.pause(paused!.record.entry);
  network.runFor(30_000);
  network.resume(paused!.record.entry);
  const accusations = new Set<string>();
  for (let step = 0; step < 300; step += 1) {
    network.runFor(100);
    [paused!, ...others].forEach(({ membership }) => membership.members()
      .filter(({ entry, state }) => state !== 'alive' && entry.entry !== paused!.record.entry)
      .forEach(({ entry }) => accusations.add(entry.entry)));
  }
  expect([...accusations]).toEqual([]);
  expectAllSeeAll(network);
});

test('entry heard by few is kept by indirect probes', () => {
  const network = createFakeNetwork({ seed: SEED });
  const entries = startEntries(network, createEntryRecords(9, 1));
  network.runFor(SETTLE_MILLISECONDS);
  const [first, second] = entries;
  network.cut((from, to) => from === first!.record && to === second!.record);
  const states = new Set<string>();
  for (let step = 0; step < 600; step += 1) {
    network.runFor(100);
    second!.membership.members()
      .filter(({ entry }) => entry.entry === first!.record.entry)
      .forEach(({ state }) => states.add(state));
  }
  expect([...states]).toEqual(['alive']);
});

test('crashed entry is dead everywhere, then forgotten', () => {
  const network = createFakeNetwork({ seed: SEED });
  const entries = startEntries(network, createEntryRecords(9, 1));
  network.runFor(SETTLE_MILLISECONDS);
  const crashed = entries[4]!.record.entry;
  network.crash(crashed);
  network.runFor(15_000);
  const stateOf = ({ membership }: FakeEntry): string | undefined => membership.members()
    .find(({ entry }) => entry.entry === crashed)?.state;
  const others = [...network.entries.values()];
  expect(others.map(stateOf)).toEqual(others.map(() => 'dead'));
  network.runFor(700_000);
  expect(others.map(stateOf)).toEqual(others.map(() => undefined));
});

test('leaving is told to all within seconds', () => {
  const network = createFakeNetwork({ seed: SEED });
  const entries = startEntries(network, createEntryRecords(9, 1));
  network.runFor(SETTLE_MILLISECONDS);
  network.leave(entries[2]!);
  network.runFor(5_000);
  const states = entries.filter((entry) => entry !== entries[2])
    .map(({ membership }) => membership.members()
      .find(({ entry }) => entry.entry === entries[2]!.record.entry)!.state);
  expect(states).toEqual(states.map(() => 'leaving'));
});

function claim(number: number, liveness: MemberUpdate['liveness']): MemberUpdate {
  return {
    entry: createEntryRecord(1, number, 1), refutation: 0, liveness, leaving: false,
  };
}

/** A membership that knows a live member 1 and a suspect member 2, and is probing. */
function createSuspecting(settings = MembershipSettings.parse({})): Membership {
  const membership = new Membership({
    self: createEntryRecord(1, 0, 1), random: new SeededRandom(SEED), settings,
  });
  const message = PeerMessage.parse({
    kind: 'release-head',
    sender: claim(1, 'alive'),
    head: ReleaseHead.parse({ sequenceInForce: 0, storeReads: 0 }),
    contacts: [],
  });
  const suspicion = PeerMessage.parse({
    ...message,
    kind: 'ack',
    probe: 9,
    updates: [claim(2, 'suspect')],
    viewDigest: 0,
    subject: claim(1, 'alive').entry.entry,
  });
  const from = EntryId.parse(message.sender.entry.entry);
  membership.step({ kind: 'message', from, message }, 0);
  membership.step({ kind: 'message', from, message: suspicion }, 0);
  membership.step({ kind: 'tick' }, 0);
  return membership;
}

function statesOf(membership: Membership): readonly string[] {
  return membership.members().map(({ state }) => state).sort();
}

test('silence of a pause is not held against others', () => {
  const membership = createSuspecting();
  membership.step({ kind: 'tick' }, 30_000);
  membership.step({ kind: 'tick' }, 30_200);
  expect(statesOf(membership)).toEqual(['alive', 'suspect']);
});

test('silence without a pause is held against others', () => {
  const membership = createSuspecting();
  for (let now = 200; now <= 30_000; now += 200) {
    membership.step({ kind: 'tick' }, now);
  }
  expect(statesOf(membership)).toEqual(['dead', 'dead']);
});

/** Updates in the answer to a ping of a member. */
function answerTo(membership: Membership, number: number): readonly MemberUpdate[] {
  const message = PeerMessage.parse({
    kind: 'ping',
    sender: claim(number, 'alive'),
    head: { sequenceInForce: 0, storeReads: 0 },
    probe: 1,
    updates: [],
    viewDigest: 0,
  });
  return membership.step({ kind: 'message', from: message.sender.entry.entry, message }, 10)
    .flatMap((command) => (
      command.kind === 'send' && command.message.kind === 'ack' ? command.message.updates : []
    ));
}

test('short probe period leaves as much time to refute', () => {
  const membership = createSuspecting(MembershipSettings.parse({ probePeriodMilliseconds: 200 }));
  for (let now = 200; now < 4_000; now += 200) {
    membership.step({ kind: 'tick' }, now);
  }
  expect(statesOf(membership)).not.toContain('dead');
  membership.step({ kind: 'tick' }, 4_000);
  expect(statesOf(membership)).toContain('dead');
});

test('accused entry is told of the claim', () => {
  const membership = createSuspecting();
  // Uses up the retransmissions, after which others are told no more.
  for (let answer = 0; answer < 20; answer += 1) {
    answerTo(membership, 1);
  }
  expect(answerTo(membership, 1)).toEqual([]);
  expect(answerTo(membership, 2)).toEqual([claim(2, 'suspect')]);
});

test('entry refutes ahead when it wakes', () => {
  const membership = createSuspecting();
  const commands = membership.step({ kind: 'tick' }, 30_000);
  const told = commands.flatMap((command) => (
    command.kind === 'send' && command.message.kind === 'ping' ? [command.message.sender.refutation] : []
  ));
  expect(Math.max(...told)).toBe(1);
});

test('mass start is seen by all within seconds', () => {
  const network = createFakeNetwork({ seed: SEED });
  startEntries(network, createEntryRecords(68, 1));
  network.runFor(15_000);
  expectAllSeeAll(network);
});

test('claim about a later start is not refuted', () => {
  const membership = createSuspecting();
  const own = claim(0, 'suspect');
  const later = { ...own, entry: createEntryRecord(1, 0, 2) };
  const message = PeerMessage.parse({
    kind: 'ping',
    sender: claim(1, 'alive'),
    head: { sequenceInForce: 0, storeReads: 0 },
    probe: 1,
    updates: [later],
    viewDigest: 0,
  });
  const refutations = (): readonly number[] => membership
    .step({ kind: 'message', from: message.sender.entry.entry, message }, 10)
    .flatMap((command) => (command.kind === 'send' ? [command.message.sender.refutation] : []));
  expect(Math.max(...refutations())).toBe(0);
});
