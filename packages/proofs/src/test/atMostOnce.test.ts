import {
  afterEach, expect, test,
} from 'vitest';
import { createClaimKey } from '@dandelionlane/platform';
import {
  IdempotencyKey, ServiceId, TABLE_NAMES, TeamId,
} from '@dandelionlane/core';
import createVMs from './createVMs.js';
import pause from './pause.js';
import services from './services.js';
import TestSystem from './TestSystem.js';
import waitUntil from './waitUntil.js';

const SLOTS = '/v1/services/slots/slots';
const body = { slot: 'wedding' };
let system: TestSystem;

async function start(zones: readonly string[], requestTimeoutMilliseconds = 10_000): Promise<void> {
  system = await TestSystem.start({
    zones,
    vms: createVMs('plain', 2, 'plain'),
    services: [{
      definition: services.slots({ requestTimeoutMilliseconds }),
      replicas: [{ replica: 'slots-1', vms: ['plain-1'] }, { replica: 'slots-2', vms: ['plain-2'] }],
    }],
  });
}

async function slowTargets(milliseconds: number): Promise<void> {
  await Promise.all(['plain-1', 'plain-2'].map((vm) => system.fault(vm, { kind: 'slow', factor: 1, milliseconds })));
}

async function claimState(key: string): Promise<string> {
  const row = createClaimKey(TeamId.parse('desk'), ServiceId.parse('slots'), IdempotencyKey.parse(key));
  const rows = await system.store.read([{ table: TABLE_NAMES.claims, key: row }]);
  const [found] = rows._unsafeUnwrap();
  return (found?.value as { state?: string } | null)?.state ?? 'absent';
}

afterEach(() => system.close());

test('same key at two entries at once', async () => {
  await start(['zone-a', 'zone-b']);
  await slowTargets(100);
  const answers = await Promise.all(Array.from({ length: 20 }, (_, index) => (
    system.call(index % 2, { path: SLOTS, body, key: 'one' })
  )));
  expect(system.runsOf('/slots')).toHaveLength(1);
  const statuses = new Set(answers.map(({ status }) => status));
  expect([...statuses].sort()).toEqual([201, 409]);
  answers.filter(({ status }) => status === 409)
    .forEach(({ problem }) => expect(problem).toMatchObject({ kind: 'idempotency-key-in-progress', outcome: 'unknown' }));
});

test('two requests under one key', async () => {
  await start(['zone-a', 'zone-b']);
  expect((await system.call(0, { path: SLOTS, body, key: 'two' })).status).toBe(201);
  const other = await system.call(1, { path: SLOTS, body: { slot: 'birthday' }, key: 'two' });
  expect(other.problem).toMatchObject({ kind: 'idempotency-key-reused', outcome: 'not-run' });
  expect(system.runsOf('/slots')).toHaveLength(1);
});

test('answer after the timeout is kept', async () => {
  await start(['zone-a', 'zone-b'], 400);
  await slowTargets(1_500);
  const first = await system.call(0, { path: SLOTS, body, key: 'late' });
  expect(first.problem).toMatchObject({ kind: 'target-timeout', outcome: 'unknown' });
  const during = await system.call(1, { path: SLOTS, body, key: 'late' });
  expect(during.problem?.kind).toBe('idempotency-key-in-progress');
  await waitUntil('the answer is kept', async () => (
    (await system.call(1, { path: SLOTS, body, key: 'late' })).status === 201
  ));
  expect(system.runsOf('/slots')).toHaveLength(1);
});

test('caller gone leaves its answer', async () => {
  await start(['zone-a', 'zone-b']);
  await slowTargets(400);
  const caller = new AbortController();
  const call = system.call(0, {
    path: SLOTS, body, key: 'gone', signal: caller.signal,
  }).catch(() => null);
  await waitUntil('the call runs', () => system.runsOf('/slots').length === 1);
  caller.abort();
  expect(await call).toBeNull();
  await waitUntil('the answer is kept', async () => (
    (await system.call(1, { path: SLOTS, body, key: 'gone' })).status === 201
  ));
  expect(system.runsOf('/slots')).toHaveLength(1);
});

test('lost answer of the claim', async () => {
  await start(['zone-a', 'zone-b']);
  await system.platformFault({ kind: 'lose-answers' });
  const first = await system.call(0, { path: SLOTS, body, key: 'lost' });
  const again = await system.call(1, { path: SLOTS, body, key: 'lost' });
  await system.platformFault({ kind: 'none' });
  expect(first.status).toBe(201);
  expect([201, 409]).toContain(again.status);
  expect(system.runsOf('/slots')).toHaveLength(1);
});

test('lost answer of the claim, then no store', async () => {
  await start(['zone-a', 'zone-b']);
  await system.platformFault({ kind: 'slow', milliseconds: 3_000 });
  const first = system.call(0, { path: SLOTS, body, key: 'slow' });
  await pause(500);
  await system.platformFault({ kind: 'unavailable' });
  const refused = await first;
  expect(refused.problem).toMatchObject({ kind: 'store-unavailable', outcome: 'not-run' });
  expect(system.runsOf('/slots')).toHaveLength(0);
  await system.platformFault({ kind: 'none' });
  await waitUntil('the key is free', async () => (
    (await system.call(1, { path: SLOTS, body, key: 'slow' })).status === 201
  ));
  expect(system.runsOf('/slots')).toHaveLength(1);
});

test('store down runs nothing, the key is free after', async () => {
  await start(['zone-a', 'zone-b']);
  await system.platformFault({ kind: 'unavailable' });
  const refused = await system.call(0, { path: SLOTS, body, key: 'down' });
  expect(refused.problem).toMatchObject({ kind: 'store-unavailable', outcome: 'not-run' });
  expect(refused.headers['retry-after']).toBe('5');
  expect(system.runsOf('/slots')).toHaveLength(0);
  await system.platformFault({ kind: 'none' });
  expect((await system.call(1, { path: SLOTS, body, key: 'down' })).status).toBe(201);
  expect(system.runsOf('/slots')).toHaveLength(1);
});

test('every entry replaced', async () => {
  await start(['zone-a']);
  const first = await system.call(0, { path: SLOTS, body, key: 'kept' });
  await waitUntil('the answer is kept', async () => (await claimState('kept')) === 'completed');
  await system.entries[0]?.running.stop();
  await system.startEntry('zone-b');
  await waitUntil('the new entry serves', async () => (
    (await system.call(1, { path: '/v1/services/slots/echo' })).status === 200
  ));
  const again = await system.call(1, { path: SLOTS, body, key: 'kept' });
  expect(again.status).toBe(201);
  expect(again.text).toBe(first.text);
  expect(system.runsOf('/slots')).toHaveLength(1);
});

test('refusal of the target frees the key', async () => {
  await start(['zone-a', 'zone-b']);
  await Promise.all(['plain-1', 'plain-2'].map((vm) => system.fault(vm, { kind: 'leave' })));
  const refused = await system.call(0, { path: SLOTS, body, key: 'free' });
  expect(refused.problem?.outcome).toBe('not-run');
  expect(system.runsOf('/slots')).toHaveLength(0);
  await Promise.all(['plain-1', 'plain-2'].map((vm) => system.fault(vm, { kind: 'restart' })));
  await system.rebuild({
    definition: services.slots({ requestTimeoutMilliseconds: 10_000 }),
    replicas: [{ replica: 'slots-3', vms: ['plain-1'] }, { replica: 'slots-4', vms: ['plain-2'] }],
  });
  await waitUntil('the key is free', async () => (
    (await system.call(1, { path: SLOTS, body, key: 'free' })).status === 201
  ));
  expect(system.runsOf('/slots')).toHaveLength(1);
});

test('target lost after it ran', async () => {
  await start(['zone-a', 'zone-b']);
  await slowTargets(2_000);
  const call = system.call(0, { path: SLOTS, body, key: 'killed' });
  await waitUntil('the call runs', () => system.runsOf('/slots').length === 1);
  await system.fault(system.runsOf('/slots')[0]?.vm ?? '', { kind: 'kill' });
  expect((await call).problem).toMatchObject({ kind: 'target-lost', outcome: 'unknown' });
  const again = await system.call(1, { path: SLOTS, body, key: 'killed' });
  expect(again.problem).toMatchObject({ kind: 'idempotency-key-in-progress', outcome: 'unknown' });
  expect(system.runsOf('/slots')).toHaveLength(1);
});
