import {
  afterEach, beforeEach, expect, test,
} from 'vitest';
import createVMs from './createVMs.js';
import pause from './pause.js';
import services from './services.js';
import TestSystem from './TestSystem.js';
import waitUntil from './waitUntil.js';

const ECHO = '/v1/services/slots/echo';
const NOTICE_MILLISECONDS = 3_000;
let system: TestSystem;

beforeEach(async () => {
  system = await TestSystem.start({
    zones: ['zone-a', 'zone-b', 'zone-c'],
    linked: true,
    vms: [
      ...createVMs('plain-a', 2, 'plain', { zone: 'zone-a' }),
      ...createVMs('plain-b', 1, 'plain', { zone: 'zone-b' }),
    ],
    services: [{
      definition: services.slots(),
      replicas: [
        { replica: 'slots-1', vms: ['plain-a-1'] },
        { replica: 'slots-2', vms: ['plain-a-2'] },
        { replica: 'slots-3', vms: ['plain-b-1'] },
      ],
    }],
  });
});

afterEach(() => system.close());

/** Takes something out at an entry. Resolves to the names of the VMs that ran calls from 3 s after it on. */
async function takeOut(
  subject: object,
  ask: (index: number) => Promise<void>,
): Promise<readonly string[]> {
  const answer = await system.administer(0, '/admin/v1/changes', { change: { kind: 'take-out', subject } });
  expect(answer.status).toBe(201);
  await system.platformFault({ kind: 'unavailable' });
  await pause(NOTICE_MILLISECONDS);
  const before = system.runs().length;
  for (let call = 0; call < 30; call += 1) {
    await ask(call % 3);
  }
  return [...new Set(system.runs().slice(before).map(({ vm }) => vm))];
}

async function expectServed(index: number): Promise<void> {
  expect((await system.call(index, { path: ECHO })).status).toBe(200);
}

test('zone taken out, then no store: no new work there, all callers served', async () => {
  const vms = await takeOut({ kind: 'availability-zone', availabilityZone: 'zone-a' }, expectServed);
  expect(vms).toEqual(['plain-b-1']);
});

test('zone taken out while an entry is cut off from the store', async () => {
  system.entries[1]?.link?.setState('silent');
  const vms = await takeOut({ kind: 'availability-zone', availabilityZone: 'zone-a' }, expectServed);
  expect(vms).toEqual(['plain-b-1']);
  system.entries[1]?.link?.setState('open');
});

test('VM taken out', async () => {
  const vms = await takeOut({ kind: 'vm', vm: 'plain-a-1' }, expectServed);
  expect(vms).not.toContain('plain-a-1');
  expect(vms).toContain('plain-a-2');
});

test('zone brought back gets work again', async () => {
  const subject = { kind: 'availability-zone', availabilityZone: 'zone-a' };
  await system.administer(0, '/admin/v1/changes', { change: { kind: 'take-out', subject } });
  await pause(NOTICE_MILLISECONDS);
  await system.administer(0, '/admin/v1/changes', { change: { kind: 'bring-back', subject } });
  await waitUntil('the zone has work', async () => {
    const before = system.runs().length;
    await Promise.all([0, 1, 2].map(expectServed));
    return system.runs().slice(before).some(({ vm }) => vm.startsWith('plain-a'));
  });
});

test('VM that leaves by its own word', async () => {
  await system.fault('plain-a-1', { kind: 'leave' });
  await pause(NOTICE_MILLISECONDS / 3);
  const before = system.runs().length;
  for (let call = 0; call < 30; call += 1) {
    await expectServed(call % 3);
  }
  expect(system.runs().slice(before).map(({ vm }) => vm)).not.toContain('plain-a-1');
});
