import {
  EMPTY_RELEASE_STATE, MemoryTableStore, OutOfService, type ReleaseChange, ReleaseSequence, SeededRandom,
  TABLE_NAMES, type TableStore,
} from '@dandelionlane/core';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  compactReleaseLog, loadReleaseState, publishChange, readChangesAfter, SNAPSHOT_INTERVAL,
} from '../index.js';
import arbitraryChange from './arbitraryChange.js';
import buildDependencies from './buildDependencies.js';
import buildNote from './buildNote.js';
import buildService from './buildService.js';
import Fault from './Fault.js';
import FaultyStore from './FaultyStore.js';
import flattenState from './flattenState.js';
import NaiveRelease from './NaiveRelease.js';
import readLog from './readLog.js';
import describeRefusal from './describeRefusal.js';
import unwrap from './unwrap.js';

const takeOut: ReleaseChange = { kind: 'take-out', subject: OutOfService.parse({ kind: 'vm', vm: 'vm-1' }) };

const addProofs = buildNote({ add: [buildService('proofs')] });

/** Returns a function that yields to other publishers for a random number of microtasks. */
function buildPause(seed: number) {
  const random = new SeededRandom(seed);
  return async () => {
    for (let turns = Math.floor(random.next() * 30); turns > 0; turns -= 1) {
      await Promise.resolve();
    }
  };
}

async function publishMany(store: TableStore, count: number, start = EMPTY_RELEASE_STATE) {
  const dependencies = buildDependencies(store);
  let state = start;
  for (let index = 0; index < count; index += 1) {
    const note = buildNote({ writtenAgainst: state.sequence, teamWeights: [{ team: `team-${index % 7}`, weight: 1 + index }] });
    unwrap(await publishChange(dependencies, state, note));
    state = unwrap(await loadReleaseState(store, state));
  }
  return state;
}

test('a note is published and read', async () => {
  const store = new MemoryTableStore();
  expect(unwrap(await publishChange(buildDependencies(store), EMPTY_RELEASE_STATE, addProofs))).toBe(1);
  const state = unwrap(await loadReleaseState(store, EMPTY_RELEASE_STATE));
  expect(state.services.map(({ definition }) => definition.service)).toEqual(['proofs']);
  const records = unwrap(await readChangesAfter(store, EMPTY_RELEASE_STATE.sequence));
  expect(records).toEqual(await readLog(store));
});

test('a refused note leaves the log unchanged', async () => {
  const store = new MemoryTableStore();
  await publishChange(buildDependencies(store), EMPTY_RELEASE_STATE, addProofs);
  const before = await readLog(store);
  const refused = await publishChange(buildDependencies(store, 'other'), EMPTY_RELEASE_STATE, addProofs);
  expect(describeRefusal(refused)).toBe('release-conflict: service proofs was touched by change 1');
  expect(await readLog(store)).toEqual(before);
});

test('an unavailable store fails the publication', async () => {
  const store = new MemoryTableStore();
  store.setFault('unavailable');
  const refused = await publishChange(buildDependencies(store), EMPTY_RELEASE_STATE, addProofs);
  expect(describeRefusal(refused)).toBe('store-unavailable: table service is down');
});

test('the outcome is unknown if every answer is lost', async () => {
  const store = new FaultyStore();
  store.faults = Array.from({ length: 40 }, (_, index) => (index % 2 === 0 ? 'none' : 'lost-before'));
  const refused = await publishChange(buildDependencies(store), EMPTY_RELEASE_STATE, addProofs);
  expect(describeRefusal(refused)).toMatch(/^store-outcome-unknown/);
  expect(await readLog(store)).toEqual([]);
});

test('stale reads neither accept nor refuse a change', async () => {
  const store = new MemoryTableStore();
  const old = await publishMany(store, 3);
  store.setFault('stale-reads');
  const dependencies = buildDependencies(store, 'other');
  expect(unwrap(await publishChange(dependencies, old, addProofs))).toBe(4);
  expect(unwrap(await loadReleaseState(store, old))).toBe(old);
  const ahead = buildNote({ writtenAgainst: 4, change: [buildService('proofs', 3)] });
  expect(describeRefusal(await publishChange(dependencies, old, ahead))).toMatch(/^overloaded/);
  store.setFault('none');
  expect(unwrap(await publishChange(dependencies, old, ahead))).toBe(5);
});

test('snapshot: old records are deleted and every reader reaches the head', async () => {
  const store = new MemoryTableStore();
  const middle = await publishMany(store, SNAPSHOT_INTERVAL - 1);
  const head = await publishMany(store, 2 * SNAPSHOT_INTERVAL + 5, middle);
  const log = await readLog(store);
  expect([log[0]?.sequence, log.at(-1)?.sequence]).toEqual([2 * SNAPSHOT_INTERVAL + 1, head.sequence]);
  expect(unwrap(await loadReleaseState(store, EMPTY_RELEASE_STATE))).toEqual(head);
  expect(unwrap(await loadReleaseState(store, middle))).toEqual(head);
  expect(unwrap(await readChangesAfter(store, middle.sequence))).toEqual([]);
  const near = ReleaseSequence.parse(head.sequence - 3);
  expect(unwrap(await readChangesAfter(store, near))).toEqual(log.slice(-3));
  expect(unwrap(await compactReleaseLog(store, middle))).toBe(false);
});

test('the outcome stays unknown if its record is compacted away', async () => {
  let calls = 0;
  const store: FaultyStore = new FaultyStore(async () => {
    calls += 1;
    // The head has been read and the answer to the commit was lost.
    if (calls === 3) {
      await publishMany(store, 2 * SNAPSHOT_INTERVAL);
    }
  });
  store.faults = ['none', 'lost-after'];
  const result = await publishChange(buildDependencies(store, 'other'), EMPTY_RELEASE_STATE, addProofs);
  expect(describeRefusal(result)).toMatch(/^store-outcome-unknown/);
  expect((await readLog(store)).map(({ nonce }) => nonce)).not.toContain('other-000001');
  const state = unwrap(await loadReleaseState(store, EMPTY_RELEASE_STATE));
  expect(state.services).toHaveLength(1);
});

test('a snapshot without its parts is ignored', async () => {
  const store = new MemoryTableStore();
  const first = unwrap(await publishChange(buildDependencies(store, 'first'), EMPTY_RELEASE_STATE, addProofs));
  const start = unwrap(await loadReleaseState(store, EMPTY_RELEASE_STATE));
  const head = await publishMany(store, 2 * SNAPSHOT_INTERVAL, start);
  const parts = unwrap(await store.scan(TABLE_NAMES.releases, 'snapshot/'));
  expect([first, parts.length]).toEqual([1, 1]);
  const writes = parts.map(({ table, key }) => ({ table, key, value: null }));
  unwrap(await store.commit({ conditions: [], writes }));
  expect(describeRefusal(await loadReleaseState(store, EMPTY_RELEASE_STATE))).toBe('store-unavailable: the release log could not be read');
  expect(unwrap(await loadReleaseState(store, start))).toBe(start);
  expect(unwrap(await publishChange(buildDependencies(store, 'last'), head, takeOut))).toBe(head.sequence + 1);
});

test.each([['first part', 0], ['second part', 1], ['snapshot row', 2]])('the next snapshot makes up for one that failed at the %s', async (_, failure) => {
  const store = new FaultyStore();
  const services = Array.from({ length: 201 }, (__, index) => buildService(`service-${index + 100}`));
  const dependencies = buildDependencies(store);
  unwrap(await publishChange(dependencies, EMPTY_RELEASE_STATE, buildNote({ add: services })));
  let state = unwrap(await loadReleaseState(store, EMPTY_RELEASE_STATE));
  for (let sequence = 2; sequence <= 2 * SNAPSHOT_INTERVAL; sequence += 1) {
    // Order of calls: read head, commit, read snapshot, write the parts, write the snapshot row.
    const faults = Array.from({ length: 3 + failure }, () => 'none' as const);
    store.faults = sequence === SNAPSHOT_INTERVAL ? [...faults, 'lost-before'] : [];
    expect(unwrap(await publishChange(dependencies, state, takeOut))).toBe(sequence);
    store.faults = [];
    state = unwrap(await loadReleaseState(store, state));
    expect(unwrap(await loadReleaseState(store, EMPTY_RELEASE_STATE))).toEqual(state);
  }
  expect((await readLog(store))[0]?.sequence).toBe(SNAPSHOT_INTERVAL + 1);
  const parts = unwrap(await store.scan(TABLE_NAMES.releases, 'snapshot/'));
  expect(parts.map(({ key }) => key)).toEqual(['snapshot/000000000512/000000', 'snapshot/000000000512/000001']);
});

test('concurrent publications with faults are serializable', async () => {
  const script = fc.array(fc.constantFrom('none', ...Fault.options), { maxLength: 40, size: 'max' });
  const counts: Record<string, number> = {};
  const property = fc.asyncProperty(
    fc.integer(),
    fc.array(fc.array(arbitraryChange, { minLength: 1, maxLength: 4 }), { minLength: 2, maxLength: 4 }),
    script,
    async (seed, publishers, faults) => {
      const store = new FaultyStore(buildPause(seed));
      store.faults = [...faults];
      const runs = publishers.map(async (changes, index) => {
        const dependencies = buildDependencies(store, `publisher${index}`);
        const outcomes: { nonce: string; outcome: string }[] = [];
        let state = EMPTY_RELEASE_STATE;
        for (const [count, make] of changes.entries()) {
          const result = await publishChange(dependencies, state, make(state));
          const outcome = result.match((sequence) => `accepted ${sequence}`, ({ kind }) => kind);
          outcomes.push({ nonce: `publisher${index}-${String(count + 1).padStart(6, '0')}`, outcome });
          const next = (await loadReleaseState(store, state)).unwrapOr(state);
          expect(next.sequence).toBeGreaterThanOrEqual(state.sequence);
          state = next;
        }
        return outcomes;
      });
      const outcomes = (await Promise.all(runs)).flat();
      const log = await readLog(store);
      const naive = new NaiveRelease();
      log.forEach(({ sequence, change }, index) => {
        expect(sequence).toBe(index + 1);
        expect(naive.publish(change)).toBe('accepted');
      });
      const logged = new Map<string, string>(log.map(({ nonce, sequence }) => [nonce, `accepted ${sequence}`]));
      expect(logged.size).toBe(log.length);
      outcomes.forEach(({ nonce, outcome }) => {
        const label = outcome.replace(/ \d+/, '');
        counts[label] = (counts[label] ?? 0) + 1;
        if (outcome !== 'store-outcome-unknown') {
          expect(logged.get(nonce)).toBe(outcome.startsWith('accepted') ? outcome : undefined);
        }
      });
      store.faults = [];
      const state = unwrap(await loadReleaseState(store, EMPTY_RELEASE_STATE));
      expect(flattenState(state)).toEqual(naive.replay());
    },
  );
  await fc.assert(property, { seed: 7, numRuns: 600 });
  expect(Object.keys(counts).sort()).toEqual(
    ['accepted', 'release-conflict', 'release-invalid', 'store-outcome-unknown', 'store-unavailable'],
  );
});
