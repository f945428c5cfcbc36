import type { EntryId, ReleaseSequence } from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import createFakeNetwork from '../experiments/createFakeNetwork.js';
import createEntryRecords from '../experiments/createEntryRecords.js';
import type FakeEntry from '../experiments/FakeEntry.js';
import type FakeNetwork from '../experiments/FakeNetwork.js';
import startEntries from '../experiments/startEntries.js';

const SEED = 7;
const SETTLE_MILLISECONDS = 20_000;
const TICK_MILLISECONDS = 200;
const CONVERGENCE_TICKS = 65;

function sequenceAt({ dissemination }: FakeEntry): ReleaseSequence {
  return dissemination.head().sequenceInForce;
}

function sequencesOf(network: FakeNetwork): readonly ReleaseSequence[] {
  return [...network.entries.values()].map(sequenceAt);
}

function runTicks(network: FakeNetwork, ticks: number): void {
  network.runFor(ticks * TICK_MILLISECONDS);
}

test('sequence in force never decreases', () => {
  const actions = fc.array(fc.oneof(
    fc.record({ kind: fc.constant('publish' as const), subject: fc.nat(20) }),
    fc.record({ kind: fc.constant('store' as const), subject: fc.nat(20) }),
    fc.record({ kind: fc.constant('stale' as const), subject: fc.nat(20) }),
    fc.record({ kind: fc.constant('pause' as const), subject: fc.nat(20) }),
  ), { minLength: 1, maxLength: 10 });
  const losses = fc.double({ min: 0, max: 0.15, noNaN: true });
  fc.assert(fc.property(fc.nat(100_000), losses, actions, (seed, loss, list) => {
    const network = createFakeNetwork({
      seed, loss, duplication: 0.2, maximumDelayMilliseconds: 200,
    });
    const entries = startEntries(network, createEntryRecords(6, 1));
    network.runFor(SETTLE_MILLISECONDS);
    const last = new Map<EntryId, ReleaseSequence>();
    list.forEach(({ kind, subject }) => {
      const entry = entries[subject % entries.length]!;
      if (kind === 'publish') {
        network.publishThrough(entry);
      } else if (kind === 'store') {
        network.store.publish();
      } else if (kind === 'stale') {
        network.injectInForce(entry, 0 as ReleaseSequence);
      } else {
        network.pause(entry.record.entry);
        network.runFor(3_000);
        network.resume(entry.record.entry);
      }
      network.runFor(500);
      entries.forEach((each) => {
        expect(sequenceAt(each)).toBeGreaterThanOrEqual(last.get(each.record.entry) ?? 0);
        last.set(each.record.entry, sequenceAt(each));
      });
    });
    runTicks(network, CONVERGENCE_TICKS);
    expect(sequencesOf(network)).toEqual(entries.map(() => network.store.sequence));
  }), { seed: SEED, numRuns: 25 });
});

test('entry that cannot reach the store receives a change from peers', () => {
  const network = createFakeNetwork({ seed: SEED, loss: 0.02 });
  const entries = startEntries(network, createEntryRecords(9, 1));
  network.runFor(SETTLE_MILLISECONDS);
  network.store.setReachable((entry) => entry !== entries[3]!.record.entry);
  network.store.publish();
  runTicks(network, CONVERGENCE_TICKS);
  expect(sequenceAt(entries[3]!)).toBe(network.store.sequence);
});

test('restarted entry pulls the state from a peer while the store is down', () => {
  const network = createFakeNetwork({ seed: SEED });
  const entries = startEntries(network, createEntryRecords(6, 1));
  network.runFor(SETTLE_MILLISECONDS);
  network.publishThrough(entries[0]!);
  runTicks(network, CONVERGENCE_TICKS);
  network.store.setReachable(() => false);
  const entry = network.restart(entries[5]!, [{ kind: 'address', address: entries[1]!.record.peerAddress }]);
  runTicks(network, CONVERGENCE_TICKS);
  expect(sequenceAt(entry)).toBe(network.store.sequence);
});

test('other entries poll when the pollers cannot reach the store', () => {
  const network = createFakeNetwork({ seed: SEED });
  const entries = startEntries(network, createEntryRecords(9, 1));
  network.runFor(SETTLE_MILLISECONDS);
  const pollers = entries.filter(({ record }) => network.store.readsBy(record.entry) > 5);
  expect(pollers.length).toBe(3);
  network.store.setReachable((entry) => !pollers.some(({ record }) => record.entry === entry));
  network.store.publish();
  runTicks(network, CONVERGENCE_TICKS);
  expect(sequencesOf(network)).toEqual(entries.map(() => network.store.sequence));
});

test('region that cannot reach the store receives a change from another region', () => {
  const network = createFakeNetwork({ seed: SEED });
  const entries = startEntries(network, createEntryRecords(18, 3));
  network.runFor(SETTLE_MILLISECONDS);
  network.store.setReachable((entry) => !entry.startsWith('entry-r2'));
  network.store.publish();
  runTicks(network, CONVERGENCE_TICKS);
  expect(sequencesOf(network)).toEqual(entries.map(() => network.store.sequence));
});

test('unreachable store is polled at a reduced rate', () => {
  const network = createFakeNetwork({ seed: SEED });
  startEntries(network, createEntryRecords(30, 1));
  network.runFor(SETTLE_MILLISECONDS);
  network.store.setReachable(() => false);
  network.runFor(60_000);
  const before = network.store.reads;
  network.runFor(60_000);
  expect(network.store.reads - before).toBeLessThan(250);
});
