import {
  EntryId, ManualClock, MemoryTableStore, RowVersion, ServingError, TABLE_NAMES,
} from '@dandelionlane/core';
import fc from 'fast-check';
import { errAsync, okAsync } from 'neverthrow';
import { expect, test, vi } from 'vitest';
import { ClaimRecord, ClaimStore, type ClaimOutcome } from '../index.js';

const SEED = 20_261_203;
const answer = { status: 201, contentType: 'application/json', bodyBase64: 'e30=' };

function createClaims(store: MemoryTableStore, name = 'a', clock = new ManualClock()): ClaimStore {
  return new ClaimStore({ store, clock, entry: EntryId.parse(name) });
}

async function readClaim(store: MemoryTableStore, key: string): Promise<ClaimRecord> {
  const rows = await store.read([{ table: TABLE_NAMES.claims, key }]);
  return ClaimRecord.parse(rows._unsafeUnwrap()[0]?.value);
}

function getHandle(outcome: ClaimOutcome) {
  if (outcome.kind !== 'granted') {
    throw new Error(`not granted: ${outcome.kind}`);
  }
  return outcome.handle;
}

test('only one of two concurrent claims is granted', async () => {
  const store = new MemoryTableStore();
  const [first, second] = await Promise.all([
    createClaims(store, 'a').claim('key', 'print', 1_000),
    createClaims(store, 'b').claim('key', 'print', 1_000),
  ]);
  expect([first.isOk(), second.isOk()].filter(Boolean)).toHaveLength(1);
  const refused = first.isErr() ? first : second;
  expect(refused._unsafeUnwrapErr().kind).toBe('idempotency-key-in-progress');
});

test('same key twice in one batch is granted once', async () => {
  const claims = createClaims(new MemoryTableStore());
  const results = await Promise.all([claims.claim('key', 'print', 1_000), claims.claim('key', 'print', 1_000)]);
  expect(results.filter((result) => result.isOk())).toHaveLength(1);
});

test('completed claim returns the stored answer', async () => {
  const store = new MemoryTableStore();
  const claims = createClaims(store);
  const handle = getHandle((await claims.claim('key', 'print', 1_000))._unsafeUnwrap());
  await claims.complete(handle, answer);
  expect((await createClaims(store, 'b').claim('key', 'print', 1_000))._unsafeUnwrap())
    .toEqual({ kind: 'completed', answer });
});

test('different request with the same key is refused', async () => {
  const claims = createClaims(new MemoryTableStore());
  await claims.claim('key', 'print', 1_000);
  expect((await claims.claim('key', 'other', 1_000))._unsafeUnwrapErr().kind).toBe('idempotency-key-reused');
});

test('claim is refused while the store is down', async () => {
  const store = new MemoryTableStore();
  store.setFault('unavailable');
  expect((await createClaims(store).claim('key', 'print', 1_000))._unsafeUnwrapErr().kind)
    .toBe('store-unavailable');
});

test('lost answer is resolved by the nonce', async () => {
  const store = new MemoryTableStore();
  store.setFault('lost-answer');
  const claims = createClaims(store);
  const handle = getHandle((await claims.claim('key', 'print', 1_000))._unsafeUnwrap());
  expect((await readClaim(store, 'key')).nonce).toBe(handle.nonce);
});

test('claim refused during a store outage is released afterwards', async () => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] });
  const store = new MemoryTableStore();
  const claims = createClaims(store);
  store.setFault('lost-answer');
  const read = vi.spyOn(store, 'read');
  const commit = store.commit.bind(store);
  vi.spyOn(store, 'commit').mockImplementationOnce((transaction) => {
    const outcome = commit(transaction);
    store.setFault('unavailable');
    return outcome;
  });
  const refused = await claims.claim('key', 'print', 1_000);
  expect(refused._unsafeUnwrapErr().kind).toBe('store-unavailable');
  store.setFault('none');
  expect((await readClaim(store, 'key')).state).toBe('claimed');
  await vi.advanceTimersByTimeAsync(1_000);
  expect((await readClaim(store, 'key')).state).toBe('released');
  expect(read).toHaveBeenCalled();
  vi.useRealTimers();
  expect((await createClaims(store, 'b').claim('key', 'print', 1_000)).isOk()).toBe(true);
});

test('release does not overwrite another holder', async () => {
  const store = new MemoryTableStore();
  const claims = createClaims(store);
  const handle = getHandle((await claims.claim('key', 'print', 1_000))._unsafeUnwrap());
  claims.release(handle);
  await vi.waitFor(async () => expect((await readClaim(store, 'key')).state).toBe('released'));
  const next = getHandle((await createClaims(store, 'b').claim('key', 'print', 1_000))._unsafeUnwrap());
  claims.release(handle);
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  expect(await readClaim(store, 'key')).toMatchObject({ nonce: next.nonce, state: 'claimed' });
});

test('conflict on one key does not refuse the rest of the batch', async () => {
  const store = new MemoryTableStore();
  await createClaims(store, 'b').claim('taken', 'print', 1_000);
  const claims = createClaims(store);
  const results = await Promise.all(['one', 'taken', 'two'].map((key) => claims.claim(key, 'print', 1_000)));
  expect(results.map((result) => result.isOk())).toEqual([true, false, true]);
});

test('batch is one transaction', async () => {
  const store = new MemoryTableStore();
  const commit = vi.spyOn(store, 'commit');
  const claims = createClaims(store);
  await Promise.all(Array.from({ length: 100 }, (_, index) => claims.claim(`key-${index}`, 'print', 1_000)));
  expect(commit).toHaveBeenCalledTimes(1);
});

test('at most one grant per key under store faults', async () => {
  await fc.assert(fc.asyncProperty(
    fc.array(fc.record({
      entry: fc.constantFrom('a', 'b', 'c'),
      key: fc.constantFrom('one', 'two'),
      fault: fc.constantFrom('none', 'unavailable', 'lost-answer', 'stale-reads'),
    }), { minLength: 1, maxLength: 12 }),
    async (steps) => {
      const store = new MemoryTableStore();
      const grants = new Map<string, number>();
      await Promise.all(steps.map(async ({ entry, key, fault }) => {
        store.setFault(fault);
        const result = await createClaims(store, entry).claim(key, 'print', 1_000);
        if (result.isOk() && result.value.kind === 'granted') {
          grants.set(key, (grants.get(key) ?? 0) + 1);
        }
      }));
      expect([...grants.values()].every((count) => count <= 1)).toBe(true);
    },
  ), { seed: SEED, numRuns: 300 });
});

test('claim refused after a commit with unknown outcome is released', async () => {
  const store = new MemoryTableStore();
  const claims = createClaims(store);
  const commit = store.commit.bind(store);
  vi.spyOn(store, 'commit').mockImplementationOnce((transaction) => {
    const outcome = commit(transaction);
    store.setFault('stale-reads');
    return outcome.andThen(() => errAsync(new ServingError('lost', { kind: 'store-outcome-unknown' })));
  }).mockImplementationOnce(() => {
    store.setFault('none');
    return errAsync(new ServingError('down', { kind: 'store-unavailable' }));
  });
  vi.spyOn(store, 'read').mockImplementationOnce((keys) => okAsync(keys.map((key) => ({
    ...key, version: RowVersion.parse(0), value: null,
  }))));
  const refused = await claims.claim('key', 'print', 1_000);
  expect(refused._unsafeUnwrapErr().kind).toBe('store-unavailable');
  await vi.waitFor(async () => expect((await readClaim(store, 'key')).state).toBe('released'));
});

test('release over a released row stops an in-flight claim', async () => {
  const store = new MemoryTableStore();
  const claims = createClaims(store);
  claims.release(getHandle((await claims.claim('key', 'print', 1_000))._unsafeUnwrap()));
  await vi.waitFor(async () => expect((await readClaim(store, 'key')).state).toBe('released'));
  const commit = store.commit.bind(store);
  const delayedCommits: (() => Promise<unknown>)[] = [];
  vi.spyOn(store, 'commit').mockImplementation((transaction) => {
    if (transaction.conditions[0]?.version === 0) {
      return commit(transaction);
    }
    vi.mocked(store.commit).mockImplementation(commit);
    vi.spyOn(store, 'read').mockImplementationOnce(() => errAsync(new ServingError('down', { kind: 'store-unavailable' })));
    delayedCommits.push(async () => commit(transaction));
    return errAsync(new ServingError('lost', { kind: 'store-outcome-unknown' }));
  });
  const refused = await claims.claim('key', 'print', 1_000);
  expect(refused._unsafeUnwrapErr().kind).toBe('store-unavailable');
  const { nonce } = await readClaim(store, 'key');
  await vi.waitFor(async () => expect((await readClaim(store, 'key')).nonce).not.toBe(nonce));
  await delayedCommits[0]?.();
  expect((await readClaim(store, 'key')).state).toBe('released');
});
