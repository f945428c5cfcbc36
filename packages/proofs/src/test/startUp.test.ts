import {
  afterEach, expect, test,
} from 'vitest';
import createVMs from './createVMs.js';
import services from './services.js';
import TestSystem from './TestSystem.js';
import waitUntil from './waitUntil.js';

const ECHO = '/v1/services/slots/echo';
let system: TestSystem;

async function start(zones: readonly string[]): Promise<void> {
  system = await TestSystem.start({
    zones,
    linked: true,
    vms: createVMs('plain', 1, 'plain'),
    services: [{ definition: services.slots(), replicas: [{ replica: 'slots-1', vms: ['plain-1'] }] }],
  });
}

async function takeOut(index: number, vm: string): Promise<void> {
  const answer = await system.administer(index, '/admin/v1/changes', {
    change: { kind: 'take-out', subject: { kind: 'vm', vm } },
  });
  expect(answer.status).toBe(201);
}

async function sequenceAt(index: number): Promise<number> {
  const answer = await system.administer(index, '/admin/v1/release');
  const { state } = JSON.parse(answer.text) as { state?: { sequence: number } };
  return state?.sequence ?? 0;
}

afterEach(() => system.close());

test('start without store or peer refuses and says why', async () => {
  await start([]);
  await system.platformFault({ kind: 'unavailable' });
  await system.startEntry('zone-a');
  const answer = await system.call(0, { path: '/v1/services/slots/slots', key: 'early', body: { slot: 'a' } });
  expect(answer.problem).toMatchObject({ kind: 'no-accepted-state', outcome: 'not-run' });
  expect(answer.headers['retry-after']).toBe('2');
  const ready = await system.call(0, { path: '/readyz' });
  expect(ready.status).toBe(503);
  expect(ready.text).toContain('no accepted release state');
  await system.platformFault({ kind: 'none' });
  await waitUntil('the entry serves', async () => (await system.call(0, { path: ECHO })).status === 200);
  expect(system.runsOf('/slots')).toHaveLength(0);
});

test('state from a peer while the store is down', async () => {
  await start(['zone-a']);
  await system.platformFault({ kind: 'unavailable' });
  await system.startEntry('zone-b');
  await waitUntil('the entry is ready', async () => (await system.call(1, { path: '/readyz' })).status === 200);
  expect(await sequenceAt(1)).toBe(await sequenceAt(0));
  await waitUntil('a home serves for it', async () => (await system.call(1, { path: ECHO })).status === 200);
});

test('release in force everywhere with one entry cut off', async () => {
  await start(['zone-a', 'zone-b', 'zone-c']);
  system.entries[2]?.link?.setState('silent');
  await takeOut(0, 'plain-9');
  const sequence = await sequenceAt(0);
  await waitUntil('it is in force everywhere', async () => (
    (await Promise.all([0, 1, 2].map(sequenceAt))).every((each) => each === sequence)
  ));
  system.entries[2]?.link?.setState('open');
});

test('release never goes back on stale reads', async () => {
  await start(['zone-a', 'zone-b']);
  await system.platformFault({ kind: 'stale-reads' });
  const seen: number[][] = [[], []];
  const watch = async () => {
    (await Promise.all([0, 1].map(sequenceAt))).forEach((sequence, index) => seen[index]?.push(sequence));
  };
  await watch();
  const answer = await system.administer(0, '/admin/v1/changes', {
    change: { kind: 'take-out', subject: { kind: 'vm', vm: 'plain-9' } },
  });
  await watch();
  await system.platformFault({ kind: 'none' });
  if (answer.status !== 201) {
    await takeOut(0, 'plain-9');
  }
  await waitUntil('it is in force everywhere', async () => {
    await watch();
    return seen.every((sequences) => sequences.at(-1) === 2);
  });
  await system.platformFault({ kind: 'stale-reads' });
  await takeOut(0, 'plain-8').catch(() => undefined);
  await watch();
  seen.forEach((sequences) => expect(sequences).toEqual([...sequences].sort((left, right) => left - right)));
});
